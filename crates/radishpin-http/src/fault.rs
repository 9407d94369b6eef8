//! Faults of a request that the server answers without its handler's work.

/// What is wrong with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HttpFault {
    /// The head or the body's framing is malformed.
    Malformed,
    /// The head is larger than allowed.
    HeadTooLarge,
    /// The body is larger than allowed.
    BodyTooLarge,
    /// The request did not arrive in time.
    Timeout,
}
