//! Software version of streams that callers take up, at this gateway or after another one.

use super::{call::Call, stream_version::StreamVersion};
use crate::process::Gateway;
use radishpin_core::{request::StreamOrigin, version::RequestSemantics};
use radishpin_protocol::prelude::*;

/// How the version of a stream was found, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// This gateway began the stream.
    Own,
    /// Another gateway, or an earlier process of this one, began it, and a sidecar had a copy.
    Copy,
    /// All endpoints of the service have had one version.
    OnlyVersion,
    /// The version is not known.
    None,
}

impl Source {
    fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Copy => "copy",
            Self::OnlyVersion => "only_version",
            Self::None => "-",
        }
    }
}

/// Determines which endpoints may serve a request: all, unless its caller takes up a stream.
pub(crate) async fn version_of_stream(gateway: &Gateway, call: &Call) -> StreamVersion {
    let resumable = call.route.semantics == RequestSemantics::ResumableStream;
    if !resumable || !call.takes_up_stream {
        return StreamVersion::Unbound;
    }
    let (source, version) = find_version(gateway, call).await;
    log::info!(
        event = "stream_taken_up", request = call.id, resumes = call.resumes.as_deref().unwrap_or("-"),
        software_version = version.as_deref().unwrap_or("-"), source = source.name();
        "the caller takes a stream up"
    );
    version.map_or(StreamVersion::Unknown, StreamVersion::Bound)
}

async fn find_version(gateway: &Gateway, call: &Call) -> (Source, Option<SoftwareVersion>) {
    if let Some(attempt) = &call.resumes {
        if let Some(origin) = gateway.own_origin(attempt) {
            return (Source::Own, origin.software_version);
        }
        if let Some(origin) = gateway.find_copy(attempt).await {
            return (Source::Copy, origin.software_version);
        }
    }
    // Callers that do not name the attempt come from a platform without versions side by side.
    let now = gateway.clock.now();
    let versions = gateway.origins.versions.lock();
    let trusted = call.resumes.is_none() || versions.has_full_list(now);
    match versions.only_version(&call.service).filter(|_| trusted) {
        Some(version) => (Source::OnlyVersion, Some(version.clone())),
        None => (Source::None, None),
    }
}

/// Records the version of the endpoint that a request for a new stream is sent to, so that its
/// caller can take the stream up. `send` is the number of the send, from 1.
pub(crate) fn record_origin(
    gateway: &Gateway,
    call: &Call,
    send: AttemptNumber,
    software_version: Option<&SoftwareVersion>,
) {
    let resumable = call.route.semantics == RequestSemantics::ResumableStream;
    if !resumable || call.takes_up_stream || call.id.is_empty() {
        return;
    }
    gateway.record_origin(StreamOrigin {
        attempt: call.id.clone(),
        send,
        software_version: software_version.cloned(),
    });
}
