//! Rendezvous hashing, so that all gateways make the same choices without coordination.

use radishpin_protocol::engine::stable_hash;

/// Hash of a target and an endpoint; a target prefers endpoints with low hashes.
pub(super) fn rendezvous_hash(target: &str, endpoint: &str) -> u64 {
    let mut bytes = Vec::with_capacity(target.len() + endpoint.len() + 1);
    bytes.extend_from_slice(target.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(endpoint.as_bytes());
    // FNV barely changes the high bits for short inputs; this finalizer mixes them.
    let hash = stable_hash(&bytes);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
