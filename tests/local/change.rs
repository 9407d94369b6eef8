//! A profile change accepted by one node comes into force at every process, and repeating it with
//! the old version is refused.

use crate::system::System;
use radishpin_protocol::Profile;
use radishpin_server::operator::document::ProfileEntry;
use std::{env, fs, time::Instant};

#[test]
fn an_accepted_change_comes_into_force_at_every_process() {
    let system = System::start();
    let (code, text) = system.run("profile show drafting --json");
    assert_eq!(code, 0, "{text}");
    let entry: ProfileEntry = serde_json::from_str(&text).unwrap();
    let profile = Profile {
        patience_ms: entry.profile.patience_ms + 1,
        ..entry.profile
    };
    let path = env::temp_dir().join(format!("radishpin-change-{}.json", std::process::id()));
    fs::write(&path, serde_json::to_string(&profile).unwrap()).unwrap();
    let set = format!("profile set drafting {} --if-version", path.display());
    let accepted_at = Instant::now();
    let version = system.apply_change(&format!("{set} {}", entry.version));
    let agents = system.cluster.agents.len();
    system.wait_for("the change in force", |report| {
        let in_force = report.processes.iter().filter(|p| p.version >= version);
        report.view_version >= version && in_force.count() >= agents
    });
    println!("in force at all agents after {:?}", accepted_at.elapsed());
    for node in system.cluster.nodes.values() {
        let (code, text) = system.run_at(
            node.running.operator_address,
            "profile show drafting --json",
        );
        assert_eq!(code, 0, "{text}");
        let shown: ProfileEntry = serde_json::from_str(&text).unwrap();
        assert_eq!(shown.profile, profile);
    }
    // The profile has a newer version now, so the same change with the old version is refused.
    let (code, text) = system.run(&format!("{set} {}", entry.version));
    assert_eq!(code, 1, "{text}");
    assert!(text.starts_with("refused: version_conflict"), "{text}");
    fs::remove_file(&path).unwrap();
}
