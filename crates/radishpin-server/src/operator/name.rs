//! Names of profiles, services and stops, and random request ids.

use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Maximum length of a name in characters; all of them are ASCII.
pub const MAX_NAME_LENGTH: usize = 64;

/// Whether `text` is a valid name, and so safe in a path, a table key and a metric label.
pub fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    let starts_with_alphanumeric = text.starts_with(|c: char| c.is_ascii_alphanumeric());
    starts_with_alphanumeric && text.len() <= MAX_NAME_LENGTH && text.chars().all(allowed)
}

/// 128 random bits as 32 hexadecimal digits.
pub(super) fn random_id() -> String {
    let id: u128 = SmallRng::from_os_rng().random();
    format!("{id:032x}")
}
