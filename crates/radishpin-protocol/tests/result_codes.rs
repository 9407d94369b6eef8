//! Checks the result codes, and that the table in the docs matches them.
//!
//! To regenerate the table:
//! `RADISHPIN_REGENERATE=1 cargo test -p radishpin-protocol --test result_codes`.

use radishpin_protocol::{ErrorBody, Ran, ResultCode};
use std::{collections::BTreeSet, env, fs, path::PathBuf};

const TABLE_HEADER: &str = "| Number | Name | Status | Ran | Cause | What a caller does | What an operator does |\n|---|---|---|---|---|---|---|\n";

fn docs_path() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/RESULT_CODES.md")
}

fn table() -> String {
    let mut table = TABLE_HEADER.to_owned();
    for code in ResultCode::ALL {
        table.push_str(&format!(
            "| {} | `{}` | {} | {} | {} | {} | {} |\n",
            code.number(),
            code.name(),
            code.status(),
            code.ran().name(),
            code.cause(),
            code.help(),
            code.operator_help(),
        ));
    }
    table
}

#[test]
fn the_table_in_the_docs_is_current() {
    let text = fs::read_to_string(docs_path()).unwrap();
    let (before, rest) = text
        .split_once(TABLE_HEADER)
        .expect("the header of the table");
    let after = rest.find("\n\n").map_or("", |end| &rest[end + 1..]);
    if env::var_os("RADISHPIN_REGENERATE").is_some() {
        fs::write(docs_path(), format!("{before}{}{after}", table())).unwrap();
    }
    let text = fs::read_to_string(docs_path()).unwrap();
    let committed = &text[text.find(TABLE_HEADER).unwrap()..text.len() - after.len()];
    assert_eq!(
        committed,
        table(),
        "docs/RESULT_CODES.md is out of date: run this test with RADISHPIN_REGENERATE=1"
    );
}

#[test]
fn numbers_and_names_are_unique_and_ascending() {
    let numbers: Vec<u32> = ResultCode::ALL.iter().map(|code| code.number()).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
    let names: BTreeSet<&str> = ResultCode::ALL.iter().map(|code| code.name()).collect();
    assert_eq!(names.len(), ResultCode::ALL.len());
    for code in ResultCode::ALL {
        assert_eq!(ResultCode::from_number(code.number()), Some(*code));
    }
}

#[test]
fn every_code_has_an_error_status() {
    let invalid: Vec<&ResultCode> = ResultCode::ALL
        .iter()
        .filter(|code| !(400..600).contains(&code.status()))
        .collect();
    assert!(invalid.is_empty(), "{invalid:?}");
}

#[test]
fn the_error_body_has_the_documented_form() {
    let body = ErrorBody::new(
        ResultCode::VersionConflict,
        "profile/slow has version 9",
        "r-1",
    )
    .with_current_version(9);
    insta::assert_snapshot!(body.to_json(), @r#"{"error":{"code":4003,"name":"version_conflict","reason":"profile/slow has version 9","help":"Read the current version and decide again.","ran":"no","request_id":"r-1","current_version":9}}"#);
    let body =
        ErrorBody::new(ResultCode::QueueFull, "256 calls wait", "r-2").with_ran(Ran::Unknown);
    insta::assert_snapshot!(body.to_json(), @r#"{"error":{"code":2002,"name":"queue_full","reason":"256 calls wait","help":"Retry after the stated time.","ran":"unknown","request_id":"r-2"}}"#);
    let read: ErrorBody = serde_json::from_str(&body.to_json()).unwrap();
    assert_eq!(read, body);
}
