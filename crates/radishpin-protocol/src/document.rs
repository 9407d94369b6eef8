//! Strict parsing of JSON documents written by operators.

use quick_error::quick_error;
use serde::de::DeserializeOwned;

quick_error! {
    /// Why a text could not be parsed as a document.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs)]
    pub enum DocumentError {
        /// The text is not a JSON object, or a field is unknown, missing, repeated or mistyped.
        Malformed { path: String, cause: String } {
            display("{path}: {cause}")
        }
    }
}

/// Parses a document.
///
/// # Errors
/// The first error found, with the path of its field.
pub fn read_document<T: DeserializeOwned>(text: &str) -> Result<T, DocumentError> {
    // A derived `Deserialize` also accepts an array that lists the fields in order.
    if !text.trim_start().starts_with('{') {
        return Err(malformed(".", "expected an object"));
    }
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let document = serde_path_to_error::deserialize(&mut deserializer).map_err(|e| {
        let cause = e.inner().to_string();
        malformed(&field_path(e.path().to_string(), &cause), &cause)
    })?;
    deserializer
        .end()
        .map_err(|e| malformed(".", &e.to_string()))?;
    Ok(document)
}

fn malformed(path: &str, cause: &str) -> DocumentError {
    DocumentError::Malformed {
        path: path.to_owned(),
        cause: cause.to_owned(),
    }
}

/// Path of the field in error; `serde` names a missing or repeated field only in its message.
fn field_path(path: String, cause: &str) -> String {
    let named = ["missing field `", "duplicate field `"]
        .iter()
        .find_map(|message_start| cause.strip_prefix(message_start)?.split('`').next());
    match named {
        Some(field) if path == "." => field.to_owned(),
        Some(field) => format!("{path}.{field}"),
        None => path,
    }
}
