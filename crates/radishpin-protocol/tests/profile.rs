//! Profile documents: parsing is strict, and each error names the path of its field.

use proptest::prelude::*;
use radishpin_protocol::{Profile, WorkloadClass};

const VALID: &str = r#"{
  "format": 1, "min_loaded": 0, "max_replicas": 3, "idle_unload_ms": 60000,
  "patience_ms": 5000, "priority": 5, "class": "interactive", "idempotent": true
}"#;

fn error_lines(text: &str) -> String {
    let errors = Profile::parse(text).expect_err("an error");
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

#[test]
fn a_valid_document_is_parsed() {
    insta::assert_debug_snapshot!(Profile::parse(VALID).unwrap(), @r"
    Profile {
        format: 1,
        min_loaded: 0,
        max_replicas: 3,
        idle_unload_ms: 60000,
        patience_ms: 5000,
        priority: 5,
        class: Interactive,
        idempotent: true,
    }
    ");
}

#[test]
fn errors_name_the_path_of_the_field() {
    let unknown_field = VALID.replace("\"format\"", "\"replicas\": 2, \"format\"");
    let duplicate = VALID.replace("\"format\"", "\"priority\": 2, \"format\"");
    let missing = VALID.replace("\"priority\": 5, ", "");
    let negative = VALID.replace("\"patience_ms\": 5000", "\"patience_ms\": -5");
    let unknown_class = VALID.replace("interactive", "urgent");
    let not_a_boolean = VALID.replace("\"idempotent\": true", "\"idempotent\": \"yes\"");
    let trailing = format!("{VALID} {{}}");
    let documents = [
        &unknown_field,
        &duplicate,
        &missing,
        &negative,
        &unknown_class,
        &not_a_boolean,
        &trailing,
    ];
    let lines: Vec<String> = documents
        .iter()
        .map(|document| error_lines(document))
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn all_fields_out_of_range_are_reported_together() {
    let text = r#"{
      "format": 2, "min_loaded": 2000, "max_replicas": 1001, "idle_unload_ms": 1,
      "patience_ms": 0, "priority": 10, "class": "deferrable", "idempotent": false
    }"#;
    insta::assert_snapshot!(error_lines(text));
}

#[test]
fn malformed_text_is_rejected() {
    let nested_arrays = "[".repeat(10_000);
    let field_array = r#"[1, 0, 3, 60000, 5000, 5, "interactive", true]"#;
    let lines = ["", field_array, "{", &nested_arrays].map(error_lines);
    insta::assert_snapshot!(lines.join("\n"));
}

proptest! {
    #[test]
    fn any_text_is_parsed_or_rejected(text in ".*") {
        let _ = Profile::parse(&text);
    }

    #[test]
    fn any_change_to_a_valid_document_is_parsed_or_rejected(
        at in 0..VALID.len(),
        insert in "[\\PC]{0,4}",
        length in 0..8_usize,
    ) {
        let end = (at + length).min(VALID.len());
        let text = format!("{}{insert}{}", &VALID[..at], &VALID[end..]);
        if let Err(errors) = Profile::parse(&text) {
            prop_assert!(!errors.is_empty());
        }
    }

    #[test]
    fn a_serialized_profile_parses_to_the_same_value(
        min_loaded in 0..=1_000_u32,
        extra in 0..=1_000_u32,
        idle_unload_ms in 100..=86_400_000_u64,
        patience_ms in 10..=3_600_000_u64,
        priority in 0..=9_u32,
        interactive: bool,
        idempotent: bool,
    ) {
        let profile = Profile {
            format: radishpin_protocol::PROFILE_FORMAT,
            min_loaded,
            max_replicas: min_loaded.saturating_add(extra).min(1_000),
            idle_unload_ms,
            patience_ms,
            priority,
            class: if interactive { WorkloadClass::Interactive } else { WorkloadClass::Deferrable },
            idempotent,
        };
        let text = serde_json::to_string(&profile).unwrap();
        prop_assert_eq!(Profile::parse(&text).unwrap(), profile);
    }
}
