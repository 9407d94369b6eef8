//! Strict reading of JSON documents that operators write.

use quick_error::quick_error;
use serde::de::DeserializeOwned;

quick_error! {
    /// Why a text is not the document that it should be.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs)]
    pub enum DocumentError {
        /// The text is no JSON object, or a field is unknown, missing, repeated or of a wrong type.
        Malformed { path: String, cause: String } {
            display("{path}: {cause}")
        }
    }
}

/// Reads a document; the fault names the path of the field.
///
/// # Errors
/// The first fault found.
pub fn read_document<T: DeserializeOwned>(text: &str) -> Result<T, DocumentError> {
    // A derived reader would also take an array of the fields in order.
    if !text.trim_start().starts_with('{') {
        return Err(fault(".", "expected an object"));
    }
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let document = serde_path_to_error::deserialize(&mut deserializer).map_err(|e| {
        let cause = e.inner().to_string();
        fault(&field_path(e.path().to_string(), &cause), &cause)
    })?;
    deserializer.end().map_err(|e| fault(".", &e.to_string()))?;
    Ok(document)
}

fn fault(path: &str, cause: &str) -> DocumentError {
    DocumentError::Malformed {
        path: path.to_owned(),
        cause: cause.to_owned(),
    }
}

/// The path of the field at fault; `serde` names a missing or repeated field in its message alone.
fn field_path(path: String, cause: &str) -> String {
    let named = ["missing field `", "duplicate field `"]
        .iter()
        .find_map(|lead| cause.strip_prefix(lead)?.split('`').next());
    match named {
        Some(field) if path == "." => field.to_owned(),
        Some(field) => format!("{path}.{field}"),
        None => path,
    }
}
