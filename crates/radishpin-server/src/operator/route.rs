//! Routing of the operators' API by method and path.

use super::{is_name, refusal::Refusal};
use http_types::Method;
use radishpin_protocol::{ProfileId, ResultCode, ServiceId, StopId};

/// The operation of a request, with the name from its path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Route {
    /// `GET /v1/profiles`
    ListProfiles,
    /// `GET /v1/profiles/NAME`
    ShowProfile(ProfileId),
    /// `PUT /v1/profiles/NAME`
    PutProfile(ProfileId),
    /// `DELETE /v1/profiles/NAME`
    DeleteProfile(ProfileId),
    /// `GET /v1/profiles/NAME/history`
    ProfileHistory(ProfileId),
    /// `GET /v1/services/NAME`
    ShowService(ServiceId),
    /// `PUT /v1/services/NAME`
    PutService(ServiceId),
    /// `GET /v1/stops`
    ListStops,
    /// `POST /v1/stops`
    PlanStop,
    /// `GET /v1/stops/ID`
    ShowStop(StopId),
    /// `DELETE /v1/stops/ID`
    CancelStop(StopId),
    /// `GET /v1/status`
    Status,
}

impl Route {
    /// Returns the route of a method and path, or the refusal of an unknown one.
    pub(super) fn find(method: Method, path: &str) -> Result<Self, Refusal> {
        let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        let ["v1", rest @ ..] = segments.as_slice() else {
            return Err(unknown_path(path));
        };
        match (rest, method) {
            (["profiles"], Method::Get) => Ok(Self::ListProfiles),
            (["profiles"], _) => Err(method_not_allowed(method, "GET")),
            (["profiles", name], Method::Get) => Ok(Self::ShowProfile(parse_name(name)?)),
            (["profiles", name], Method::Put) => Ok(Self::PutProfile(parse_name(name)?)),
            (["profiles", name], Method::Delete) => Ok(Self::DeleteProfile(parse_name(name)?)),
            (["profiles", _], _) => Err(method_not_allowed(method, "GET, PUT, DELETE")),
            (["profiles", name, "history"], Method::Get) => {
                Ok(Self::ProfileHistory(parse_name(name)?))
            }
            (["profiles", _, "history"], _) => Err(method_not_allowed(method, "GET")),
            (["services", name], Method::Get) => Ok(Self::ShowService(parse_name(name)?)),
            (["services", name], Method::Put) => Ok(Self::PutService(parse_name(name)?)),
            (["services", _], _) => Err(method_not_allowed(method, "GET, PUT")),
            (["stops"], Method::Get) => Ok(Self::ListStops),
            (["stops"], Method::Post) => Ok(Self::PlanStop),
            (["stops"], _) => Err(method_not_allowed(method, "GET, POST")),
            (["stops", id], Method::Get) => Ok(Self::ShowStop(parse_name(id)?)),
            (["stops", id], Method::Delete) => Ok(Self::CancelStop(parse_name(id)?)),
            (["stops", _], _) => Err(method_not_allowed(method, "GET, DELETE")),
            (["status"], Method::Get) => Ok(Self::Status),
            (["status"], _) => Err(method_not_allowed(method, "GET")),
            _ => Err(unknown_path(path)),
        }
    }
}

fn parse_name(name: &str) -> Result<String, Refusal> {
    if is_name(name) {
        return Ok(name.to_owned());
    }
    let reason = "the name in the path is no name: 1 to 64 of a-z, A-Z, 0-9, '.', '_' and '-', \
                  a letter or digit first";
    Err(Refusal::new(ResultCode::InvalidField, reason))
}

fn unknown_path(path: &str) -> Refusal {
    let shown: String = path.chars().take(80).collect();
    Refusal::new(ResultCode::UnknownPath, format!("no path {shown:?}"))
}

fn method_not_allowed(method: Method, allow: &'static str) -> Refusal {
    let reason = format!("{method} is not allowed; allowed: {allow}");
    Refusal::new(ResultCode::MethodNotAllowed, reason).with_allow(allow)
}
