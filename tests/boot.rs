//! The settings that the platform gives to a process, seen from the command line.

use std::{fs, path::PathBuf, process::Command};

fn radishpin(args: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_radishpin"))
        .args(args)
        .env_remove("RADISHPIN_BOOT")
        .output()
        .expect("the binary runs");
    let text = [output.stdout, output.stderr].concat();
    (
        output.status.code(),
        String::from_utf8_lossy(&text).into_owned(),
    )
}

fn boot_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("the file is written");
    path
}

const WHOLE: &str = r#"{
    "node_name": "front-1", "zone": "north", "ip_address": "127.0.0.1", "internal_ports": [7380, 7395],
    "limits": {"cores": 1}, "platform": {"address": "127.0.0.1:9"},
    "bounds": {"grace_s": 8, "budget_ratio": 0.2, "retry_slack": 54, "budget_window_s": 10}
}"#;

#[test]
fn a_settings_file_that_is_missing_or_cut_off_ends_with_code_2_and_one_line() {
    let cut = boot_file("cut.json", &WHOLE[..120]);
    let other = boot_file("other.json", &WHOLE.replace("\"127.0.0.1\"", "7"));
    for path in [PathBuf::from("nowhere.json"), cut, other] {
        for role in ["gateway", "sidecar"] {
            let path = path.to_str().expect("path is text");
            let (code, text) = radishpin(&[role, "--boot", path]);
            assert_eq!(code, Some(2), "{text}");
            assert_eq!(text.lines().count(), 1, "{text}");
            assert!(text.contains(path), "{text}");
        }
    }
}

#[test]
fn a_role_without_its_addresses_says_which() {
    let path = boot_file("whole.json", WHOLE);
    let path = path.to_str().expect("path is text");
    let (code, text) = radishpin(&["gateway", "--boot", path]);
    assert_eq!(code, Some(2), "{text}");
    assert!(text.contains("address for callers"), "{text}");
    let (code, text) = radishpin(&["sidecar", "--boot", path]);
    assert_eq!(code, Some(2), "{text}");
    assert!(text.contains("address of an engine"), "{text}");
}

#[test]
fn check_reads_the_settings_file() {
    let path = boot_file("checked.json", WHOLE);
    let path = path.to_str().expect("path is text");
    assert_eq!(radishpin(&["check", "gateway", "--boot", path]).0, Some(0));
    assert_eq!(
        radishpin(&["check", "gateway", "--boot", "nowhere.json"]).0,
        Some(2)
    );
}
