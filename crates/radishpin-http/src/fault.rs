//! Request errors that the server detects before it calls the handler.

/// Why a request is refused before [`crate::Handler::handle`] is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HttpFault {
    /// The head or the body's framing is malformed.
    Malformed,
    /// The head exceeds the size limit, or has too many headers.
    HeadTooLarge,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The head or the body did not arrive completely within its timeout.
    Timeout,
}
