//! Profile documents: strict, with the path of every field at fault.

use proptest::prelude::*;
use radishpin_protocol::{Profile, WorkloadClass};

const SOUND: &str = r#"{
  "format": 1, "min_loaded": 0, "max_replicas": 3, "idle_unload_ms": 60000,
  "patience_ms": 5000, "priority": 5, "class": "interactive", "idempotent": true
}"#;

fn faults(text: &str) -> String {
    let faults = Profile::parse(text).expect_err("a fault");
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

#[test]
fn a_sound_document_is_read() {
    insta::assert_debug_snapshot!(Profile::parse(SOUND).unwrap(), @r"
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
fn faults_name_the_path_of_the_field() {
    let unknown = SOUND.replace("\"format\"", "\"replicas\": 2, \"format\"");
    let twice = SOUND.replace("\"format\"", "\"priority\": 2, \"format\"");
    let absent = SOUND.replace("\"priority\": 5, ", "");
    let negative = SOUND.replace("\"patience_ms\": 5000", "\"patience_ms\": -5");
    let word = SOUND.replace("interactive", "urgent");
    let text = SOUND.replace("\"idempotent\": true", "\"idempotent\": \"yes\"");
    let more = format!("{SOUND} {{}}");
    let all = [&unknown, &twice, &absent, &negative, &word, &text, &more];
    let lines: Vec<String> = all.iter().map(|document| faults(document)).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn all_fields_out_of_range_are_named_at_once() {
    let text = r#"{
      "format": 2, "min_loaded": 2000, "max_replicas": 1001, "idle_unload_ms": 1,
      "patience_ms": 0, "priority": 10, "class": "deferrable", "idempotent": false
    }"#;
    insta::assert_snapshot!(faults(text));
}

#[test]
fn text_that_is_no_document_is_refused() {
    let deep = "[".repeat(10_000);
    let fields = r#"[1, 0, 3, 60000, 5000, 5, "interactive", true]"#;
    let lines = ["", fields, "{", &deep].map(faults);
    insta::assert_snapshot!(lines.join("\n"));
}

proptest! {
    #[test]
    fn any_text_is_read_or_refused(text in ".*") {
        let _ = Profile::parse(&text);
    }

    #[test]
    fn any_change_of_a_sound_document_is_read_or_refused(
        at in 0..SOUND.len(),
        insert in "[\\PC]{0,4}",
        length in 0..8_usize,
    ) {
        let end = (at + length).min(SOUND.len());
        let text = format!("{}{insert}{}", &SOUND[..at], &SOUND[end..]);
        if let Err(faults) = Profile::parse(&text) {
            prop_assert!(!faults.is_empty());
        }
    }

    #[test]
    fn a_written_profile_reads_back_the_same(
        min_loaded in 0..=1_000_u32,
        more in 0..=1_000_u32,
        idle_unload_ms in 100..=86_400_000_u64,
        patience_ms in 10..=3_600_000_u64,
        priority in 0..=9_u32,
        interactive: bool,
        idempotent: bool,
    ) {
        let profile = Profile {
            format: radishpin_protocol::PROFILE_FORMAT,
            min_loaded,
            max_replicas: min_loaded.saturating_add(more).min(1_000),
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
