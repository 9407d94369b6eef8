//! Fingerprints of requests, which tell whether two of them are the same but for the attempt.

use super::SharedParts;
use sha2::{Digest, Sha256};

/// Hash of what makes a request the same for its endpoint: path, caller and body.
pub type RequestFingerprint = u64;

/// What makes a request the same for its endpoint.
#[derive(Clone, Debug)]
pub struct RequestIdentity<'a> {
    /// Its method.
    pub method: &'a str,
    /// Host that it names; upper and lower case are the same.
    pub host: &'a [u8],
    /// Its path and query.
    pub path: &'a str,
    /// Headers that tell who the caller is, in any order.
    pub caller_headers: Vec<(&'a str, &'a [u8])>,
    /// Parts of its prompt that other requests may share.
    pub shared_parts: &'a SharedParts,
    /// Its body.
    pub body: &'a [u8],
}

impl RequestIdentity<'_> {
    /// Computes the fingerprint. The hash is cryptographic, so that no caller can craft a request with the
    /// fingerprint of another one.
    pub fn fingerprint(mut self) -> RequestFingerprint {
        let mut hash = Sha256::new();
        write(&mut hash, self.method.as_bytes());
        write(&mut hash, &self.host.to_ascii_lowercase());
        write(&mut hash, self.path.as_bytes());
        self.caller_headers.sort_unstable();
        for (name, value) in self.caller_headers {
            write(&mut hash, name.as_bytes());
            write(&mut hash, value);
        }
        // Ends the headers, as none has an empty name.
        write(&mut hash, &[]);
        for part in self.shared_parts.ids() {
            write(&mut hash, &part.to_be_bytes());
        }
        write(&mut hash, &[]);
        write(&mut hash, self.body);
        let digest = hash.finalize();
        let first = digest.iter().take(size_of::<RequestFingerprint>());
        first.fold(0, |bits, byte| (bits << u8::BITS) | u64::from(*byte))
    }
}

/// Writes a field with its length, so that no two sequences of fields hash alike.
fn write(hash: &mut Sha256, field: &[u8]) {
    hash.update((field.len() as u64).to_be_bytes());
    hash.update(field);
}
