//! What a request tells of its prompt before it runs.

use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, fmt};

/// Id of a part of a prompt; requests whose prompts hold the same part name the same id.
pub type PromptPartId = u64;

/// Largest number of shared parts that are read of one prompt.
pub const SHARED_PARTS_MAX: usize = 64;

/// Size of a prompt and upper bound of its completion, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSize {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Largest number of tokens to generate.
    pub output_tokens_max: u32,
}

/// Parts of one prompt that other requests may share, at most [`SHARED_PARTS_MAX`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(from = "Vec<PromptPartId>", into = "Vec<PromptPartId>")]
pub struct SharedParts(BTreeSet<PromptPartId>);

impl SharedParts {
    /// Whether the prompt shares no part.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether the prompt has this part.
    pub fn contains(&self, part: PromptPartId) -> bool {
        self.0.contains(&part)
    }

    /// Ids of the parts.
    pub fn ids(&self) -> impl Iterator<Item = PromptPartId> {
        self.0.iter().copied()
    }
}

impl From<Vec<PromptPartId>> for SharedParts {
    fn from(parts: Vec<PromptPartId>) -> Self {
        parts.into_iter().collect()
    }
}

impl From<SharedParts> for Vec<PromptPartId> {
    fn from(parts: SharedParts) -> Self {
        parts.ids().collect()
    }
}

impl FromIterator<PromptPartId> for SharedParts {
    fn from_iter<I: IntoIterator<Item = PromptPartId>>(parts: I) -> Self {
        let mut ids = BTreeSet::new();
        for part in parts {
            if ids.len() == SHARED_PARTS_MAX {
                break;
            }
            ids.insert(part);
        }
        Self(ids)
    }
}

impl fmt::Display for SharedParts {
    /// Writes the first few ids for a log line, in hexadecimal.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        /// Largest number of ids in a log line.
        const LOGGED_MAX: usize = 8;
        if self.is_empty() {
            return f.write_str("-");
        }
        for (n, part) in self.ids().take(LOGGED_MAX).enumerate() {
            let separator = if n == 0 { "" } else { "," };
            write!(f, "{separator}{part:x}")?;
        }
        Ok(())
    }
}
