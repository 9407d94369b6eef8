//! Software version of streams that callers resume, begun at this gateway or at another one.

use super::{call::Call, stream_version::StreamVersion};
use crate::process::Gateway;
use radishpin_core::{process::OnlyVersion, request::StreamOrigin, version::RequestSemantics};
use radishpin_protocol::prelude::*;

/// Longest attempt id, in bytes, whose origin is recorded, as callers choose the ids.
const ATTEMPT_ID_BYTES_MAX: usize = 128;

/// How the version of a stream was found; for the log and the metrics.
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
            Self::None => "none",
        }
    }
}

/// Determines which endpoints may serve a request: all, unless its caller resumes a stream.
pub(crate) async fn version_of_stream(gateway: &Gateway, call: &Call) -> StreamVersion {
    let resumable = call.route.semantics == RequestSemantics::ResumableStream;
    if !resumable || !call.resumes_stream {
        return StreamVersion::Unbound;
    }
    let (source, version) = find_version(gateway, call).await;
    let resumptions = &gateway.metrics.resumptions;
    resumptions.with_label_values(&[source.name()]).inc();
    log::info!(
        event = "stream_resumption", request = call.id, resumes = call.resumes.as_deref().unwrap_or("-"),
        software_version = version.bound().unwrap_or("-"), source = source.name();
        "the caller resumes a stream"
    );
    version
}

async fn find_version(gateway: &Gateway, call: &Call) -> (Source, StreamVersion) {
    if let Some(attempt) = &call.resumes {
        let attempt = &origin_id(call, attempt);
        if let Some(origin) = gateway.own_origin(attempt) {
            return (Source::Own, origin_version(&origin));
        }
        if let Some(origin) = gateway.find_copy(attempt).await {
            return (Source::Copy, origin_version(&origin));
        }
    }
    // Another gateway may have seen a version that this one has not.
    gateway.ask_for_versions().await;
    only_version(gateway, call)
}

/// Id under which the origin of a stream is kept: that of the attempt, which callers choose, together with the
/// customer, so that no customer resumes the stream of another one. No header contains a line break.
fn origin_id(call: &Call, attempt: &str) -> RequestId {
    match &call.customer {
        Some(customer) => format!("{}\n{attempt}", customer.name),
        None => attempt.to_owned(),
    }
}

fn origin_version(origin: &StreamOrigin) -> StreamVersion {
    let mut version = StreamVersion::Unbound;
    version.bind(origin.software_version.as_ref());
    version
}

/// The version that all endpoints of the service have had for so long that no other one can have
/// begun the stream.
fn only_version(gateway: &Gateway, call: &Call) -> (Source, StreamVersion) {
    let versions = gateway.origins.versions.lock();
    let known_in = match versions.only_version(&call.service, gateway.clock.now()) {
        OnlyVersion::Known(version) => {
            let version = StreamVersion::Bound(version.to_owned());
            return (Source::OnlyVersion, version);
        }
        OnlyVersion::KnownIn(delay) => Some(delay),
        OnlyVersion::Ambiguous => None,
    };
    (Source::None, StreamVersion::Unknown { known_in })
}

/// Records the version of the endpoint that a request for a new stream is sent to, so that its
/// caller can resume the stream. `send` is the number of the send, from 1.
pub(crate) fn record_origin(
    gateway: &Gateway,
    call: &Call,
    send: AttemptNumber,
    software_version: Option<&SoftwareVersion>,
) {
    let resumable = call.route.semantics == RequestSemantics::ResumableStream;
    let has_id = (1..=ATTEMPT_ID_BYTES_MAX).contains(&call.id.len());
    if !resumable || call.resumes_stream || !has_id {
        return;
    }
    gateway.record_origin(StreamOrigin {
        attempt: origin_id(call, &call.id),
        send,
        software_version: software_version.cloned(),
    });
}
