//! `radishpin check`: validates settings and profile documents without starting anything.

use super::{CommandSpec, operand_fault};
use crate::{
    CommandError,
    settings::{Fault, Values},
};
use radishpin_protocol::Profile;
use std::{
    fs,
    io::{self, Write},
};

const ALLOWED_OPERANDS: &str =
    "node, agent, standin or try with the role's flags, or profile FILE...";

pub(super) static SPEC: CommandSpec = CommandSpec {
    name: "check",
    summary: "Check the settings of a role, or profile documents, without starting anything.",
    usages: &[
        "node|agent|standin|try [FLAGS OF THE ROLE]",
        "profile FILE...",
    ],
    settings: &[],
    examples: &[
        "radishpin check try --listen 127.0.0.1:0",
        "radishpin check profile interactive.json",
    ],
    notes: "",
    check,
};

fn check(values: &Values) -> Vec<Fault> {
    // `check ROLE` is handled before the settings of this command are read, so only `profile` is
    // valid here.
    match values.operands() {
        [subject, _, ..] if subject == "profile" => Vec::new(),
        [] => vec![operand_fault(&[], ALLOWED_OPERANDS)],
        [subject, ..] => vec![operand_fault(&[subject], ALLOWED_OPERANDS)],
    }
}

pub(super) fn run(values: &Values) -> Result<(), CommandError> {
    let paths = values.operands().iter().skip(1);
    let mut lines = Vec::new();
    for path in paths {
        lines.extend(document_faults(path)?);
    }
    if !lines.is_empty() {
        return Err(CommandError::Document { lines });
    }
    io::stdout().write_all(b"profile documents are valid\n")?;
    Ok(())
}

fn document_faults(path: &str) -> Result<Vec<String>, CommandError> {
    let text = fs::read_to_string(path).map_err(|cause| CommandError::File {
        path: path.to_owned(),
        cause,
    })?;
    let faults = Profile::parse(&text).err().unwrap_or_default();
    Ok(faults
        .iter()
        .map(|fault| format!("{path}: {fault}"))
        .collect())
}
