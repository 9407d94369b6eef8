//! Rendezvous hashing, so that all gateways make the same choices without coordination.

use radishpin_protocol::engine::stable_hash;

/// Hash of a target and one of its candidates; a target prefers candidates with low hashes.
pub(crate) fn rendezvous_hash(target: &str, candidate: &str) -> u64 {
    let mut bytes = Vec::with_capacity(target.len() + candidate.len() + 1);
    bytes.extend_from_slice(target.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(candidate.as_bytes());
    // FNV barely changes the high bits for short inputs.
    mix(stable_hash(&bytes))
}

/// Spreads each bit of a hash over all bits.
pub(crate) fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
