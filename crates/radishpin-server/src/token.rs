//! Bearer tokens of operators and of the system's own processes.

use quick_error::quick_error;
use std::fmt;
use subtle::ConstantTimeEq;

quick_error! {
    /// Why a text is not a valid token; the message never contains the text.
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
        /// Contains a character that is not allowed in a header value.
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
    /// Smallest length of a token.
    pub const MIN_CHARACTERS: usize = 16;
    /// Largest length of a token.
    pub const MAX_CHARACTERS: usize = 256;

    /// Validates a token after trimming surrounding white space, such as a file's last line break.
    ///
    /// # Errors
    /// The length is out of range, or a character is not visible ASCII.
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

    /// Whether `presented` equals this token; the comparison time depends only on the lengths.
    pub fn matches(&self, presented: &str) -> bool {
        self.0.as_bytes().ct_eq(presented.as_bytes()).into()
    }

    /// Value of the `Authorization` header that carries the token.
    pub fn authorization(&self) -> String {
        format!("Bearer {}", self.0)
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(hidden)")
    }
}
