//! Software version that a stream is bound to.

use radishpin_protocol::prelude::*;

/// Which endpoints may serve a stream: the events of two software versions do not fit together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum StreamVersion {
    /// Any endpoint, as the caller has no event yet.
    Unbound,
    /// Endpoints of the version that brought the first event.
    Bound(SoftwareVersion),
    /// None, as the version that brought the first event is not known.
    Unknown {
        /// Time until it may be known; `None` if it stays unknown.
        known_in: Option<Duration>,
    },
}

impl StreamVersion {
    /// Binds a stream to the version of the endpoint that brings its first event, as far as it is
    /// known; a bound stream stays as it is.
    pub(crate) fn bind(&mut self, version: Option<&SoftwareVersion>) {
        if *self == Self::Unbound {
            *self = match version {
                Some(version) => Self::Bound(version.clone()),
                None => Self::Unknown { known_in: None },
            };
        }
    }

    /// Whether no endpoint may resume the stream.
    pub(crate) fn is_unknown(&self) -> bool {
        matches!(self, Self::Unknown { .. })
    }

    /// The only version that may serve the request; `None` if any may.
    pub(crate) fn bound(&self) -> Option<&str> {
        match self {
            Self::Bound(version) => Some(version),
            Self::Unbound | Self::Unknown { .. } => None,
        }
    }
}
