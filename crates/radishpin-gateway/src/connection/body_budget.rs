//! Bounds the bytes of response bodies that a process keeps.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use quick_error::quick_error;
use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Most bytes of one body.
const BODY_BYTES_MAX: usize = 16 * 1024 * 1024;
/// Most bytes of all bodies that are being read at the same time.
const ALL_BODIES_BYTES_MAX: usize = 64 * 1024 * 1024;

quick_error! {
    /// Why a body was not kept.
    #[derive(Debug)]
    pub enum BodyError {
        /// The connection failed, or the body ended early.
        Broken(cause: hyper::Error) {
            display("body broke off: {cause}")
            source(cause)
            from()
        }
        /// The body is larger than any that is kept.
        TooLarge {
            display("body is larger than {BODY_BYTES_MAX} bytes")
        }
        /// Too many bytes of other bodies are being read.
        NoRoom {
            display("over {ALL_BODIES_BYTES_MAX} bytes of bodies are being read")
        }
    }
}

/// The bytes of all bodies that are being read.
#[derive(Clone, Debug, Default)]
pub(crate) struct BodyBudget {
    bytes: Arc<AtomicUsize>,
}

/// Bytes that count towards a budget until they are dropped.
struct Share<'a> {
    budget: &'a BodyBudget,
    bytes: usize,
}

impl Share<'_> {
    fn grow(&mut self, count: usize, bytes_max: usize) -> Result<(), BodyError> {
        self.bytes += count;
        let all = self.budget.bytes.fetch_add(count, Ordering::Relaxed) + count;
        if self.bytes > bytes_max {
            return Err(BodyError::TooLarge);
        }
        match all > ALL_BODIES_BYTES_MAX {
            true => Err(BodyError::NoRoom),
            false => Ok(()),
        }
    }
}

impl Drop for Share<'_> {
    fn drop(&mut self) {
        self.budget.bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl BodyBudget {
    /// Reads a body to its end.
    ///
    /// # Errors
    /// The body breaks off, or it or all bodies together are too large.
    pub(crate) async fn read(&self, mut body: Incoming) -> Result<Bytes, BodyError> {
        let mut share = Share {
            budget: self,
            bytes: 0,
        };
        let mut kept = BytesMut::new();
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame?.into_data() {
                share.grow(data.len(), BODY_BYTES_MAX)?;
                kept.extend_from_slice(&data);
            }
        }
        Ok(kept.freeze())
    }
}
