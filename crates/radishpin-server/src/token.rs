//! Tokens that operators and the system's own processes present.

use quick_error::quick_error;
use std::fmt;
use subtle::ConstantTimeEq;

quick_error! {
    /// Why a text cannot be a token; never shows the text.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    #[allow(missing_docs)]
    pub enum TokenError {
        /// Too short to be hard to guess, or too long for a header.
        Length { length: usize } {
            display(
                "{length} characters; a token has {} to {}",
                Token::MIN_CHARACTERS,
                Token::MAX_CHARACTERS
            )
        }
        /// Holds a character that a header cannot carry.
        Character {
            display("a token has visible ASCII characters only, without spaces")
        }
    }
}

/// A shared secret, presented as `Authorization: Bearer TOKEN`.
///
/// `Debug` hides it, and there is no `Display`, so that no log line can show it.
#[derive(Clone)]
pub struct Token(String);

impl Token {
    /// Shortest token.
    pub const MIN_CHARACTERS: usize = 16;
    /// Longest token.
    pub const MAX_CHARACTERS: usize = 256;

    /// Takes a token; white space around it (such as a file's last line end) is dropped.
    ///
    /// # Errors
    /// The length is out of range, or a character cannot stand in a header.
    pub fn new(text: &str) -> Result<Self, TokenError> {
        let text = text.trim();
        let length = text.chars().count();
        if !(Self::MIN_CHARACTERS..=Self::MAX_CHARACTERS).contains(&length) {
            return Err(TokenError::Length { length });
        }
        if !text.chars().all(|c| c.is_ascii_graphic()) {
            return Err(TokenError::Character);
        }
        Ok(Self(text.to_owned()))
    }

    /// Whether `presented` is this token, compared in a time that depends on the lengths alone.
    pub fn matches(&self, presented: &str) -> bool {
        self.0.as_bytes().ct_eq(presented.as_bytes()).into()
    }

    /// Value of the `Authorization` header that presents the token.
    pub fn authorization(&self) -> String {
        format!("Bearer {}", self.0)
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(hidden)")
    }
}
