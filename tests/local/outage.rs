//! Requests are served and changes refused while the platform is down, as documented in
//! `docs/operators/store-outage.md`.

use crate::system::{Answer, System};

const MODEL: &str = "repair-notes";
const OTHER_MODEL: &str = "season-summary";

/// Formats the status, the name of the result code, and whether the call ran.
fn refusal(answer: &Answer) -> String {
    let body: serde_json::Value = serde_json::from_str(&answer.body).expect("JSON");
    let error = &body["error"];
    format!("{} {} ran={}", answer.status, error["name"], error["ran"])
}

#[test]
fn requests_are_served_and_changes_refused_during_an_outage() {
    let system = System::start();
    let warm = system.complete(MODEL);
    assert_eq!(warm.status, 200, "{warm:?}");
    system.set_platform_down(true);

    let loaded = system.complete(MODEL);
    assert_eq!(loaded.status, 200, "a loaded model: {loaded:?}");
    let cold = system.complete(OTHER_MODEL);
    assert_eq!(cold.status, 200, "a cold start under a grant: {cold:?}");
    let plain = system.call("/services/booking/appointments", None, "tuner at nine");
    assert_eq!(plain.status, 200, "a plain service: {plain:?}");
    let keyed = system.call(
        "/services/booking/appointments",
        Some("k-1"),
        "tuner at ten",
    );
    insta::assert_snapshot!(refusal(&keyed), @r#"503 "key_unchecked" ran="unknown""#);

    let version = system.status().view_version;
    assert!(version > 0, "status answers from the view");
    let (code, list) = system.run("profile list --json");
    assert_eq!(code, 0, "{list}");
    assert!(list.contains("\"source\":\"view\""), "{list}");
    let (code, stops) = system.run("stop list");
    assert_eq!(code, 0, "{stops}");
    for change in [
        "profile history drafting",
        "profile delete drafting --if-version 1",
        "stop plan --host host-runner-1 --from +1h --to +2h",
    ] {
        let (code, text) = system.run(change);
        assert_eq!(code, 1, "{change}: {text}");
        assert!(
            text.starts_with("refused: platform_down"),
            "{change}: {text}"
        );
    }

    system.set_platform_down(false);
    let window = "--from 2100-01-31T04:00:00Z --to 2100-01-31T06:00:00Z";
    system.retry_until_accepted(&format!(
        "stop plan --host host-runner-1 {window} --id later"
    ));
    let report = system.wait_for("the stop in force", |report| !report.stops.is_empty());
    assert!(report.view_version > version, "{report:?}");
}
