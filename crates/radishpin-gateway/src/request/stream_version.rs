//! Software version that a stream is bound to.

use radishpin_protocol::prelude::*;

/// Which endpoints may go on with a stream: what two software versions write does not fit together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum StreamVersion {
    /// Any endpoint, as the caller has no event yet.
    Unbound,
    /// Endpoints of the version that brought the first event.
    Bound(SoftwareVersion),
    /// None, as the version that brought the first event is not known.
    Unknown,
}

impl StreamVersion {
    /// Binds a stream to the version of the endpoint that brings its first event, as far as it is
    /// known; a bound stream stays as it is.
    pub(crate) fn bind(&mut self, version: Option<&SoftwareVersion>) {
        if *self == Self::Unbound {
            *self = version.cloned().map_or(Self::Unknown, Self::Bound);
        }
    }

    /// The only version that may serve the request; `None` if any may.
    pub(crate) fn bound(&self) -> Option<&str> {
        match self {
            Self::Bound(version) => Some(version),
            Self::Unbound | Self::Unknown => None,
        }
    }
}
