//! Faults of the platform: a change is reported as accepted only if it is durable, and as unknown
//! only if its outcome cannot be determined.

use crate::fixture::{Fixture, PROFILE, refusal, version};
use http_types::Method;
use radishpin_standin::{Faults, Outage};

const PATH: &str = "/v1/profiles/slow";

#[test]
fn a_change_with_a_lost_reply_is_accepted() {
    let fixture = Fixture::new();
    fixture.platform.set_faults(Faults {
        lose_commit_replies: 1,
        ..Faults::default()
    });
    let answer = fixture.send_authorized(Method::Put, PATH, "", PROFILE);
    assert_eq!(answer.status, 201, "{answer:?}");
    assert_eq!(
        fixture.platform.row("profile/slow").version,
        version(&answer)
    );
}

#[test]
fn a_change_without_any_reply_is_unknown() {
    let fixture = Fixture::new();
    fixture.platform.set_faults(Faults {
        lose_commit_replies: 100,
        ..Faults::default()
    });
    let answer = fixture.send_authorized(Method::Put, PATH, "", PROFILE);
    let body: serde_json::Value = serde_json::from_str(&answer.body).unwrap();
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(body["error"]["name"], "change_unknown");
    assert_eq!(body["error"]["ran"], "unknown");
    insta::assert_snapshot!(body["error"]["help"].as_str().unwrap(), @"GET /v1/profiles/slow once the platform answers; repeat the change only if it is not there.");
    insta::assert_snapshot!(answer.retry_after.unwrap(), @"5");
    // The request that the help suggests shows that the change took effect.
    fixture.platform.set_faults(Faults::default());
    let shown = fixture.send_authorized(Method::Get, PATH, "", "");
    assert_eq!(shown.status, 200, "{shown:?}");
}

#[test]
fn a_lost_request_is_not_reported_as_accepted() {
    let fixture = Fixture::new();
    fixture.platform.set_faults(Faults {
        lose_commit_requests: 100,
        ..Faults::default()
    });
    let answer = fixture.send_authorized(Method::Put, PATH, "", PROFILE);
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.body.contains("change_unknown"), "{answer:?}");
    assert_eq!(fixture.platform.row("profile/slow").version, 0);
}

#[test]
fn an_outage_refuses_changes_but_shows_the_current_view() {
    let fixture = Fixture::new();
    let expected_version = fixture.create("slow").to_string();
    fixture.platform.set_faults(Faults {
        outage: Outage::Refusing,
        ..Faults::default()
    });
    let without_view = fixture.send_authorized(Method::Get, PATH, "", "");
    assert_eq!(without_view.status, 503, "no view yet: {without_view:?}");
    fixture.platform.set_faults(Faults::default());
    fixture.poll();
    fixture.platform.set_faults(Faults {
        outage: Outage::Refusing,
        ..Faults::default()
    });
    let shown = fixture.send_authorized(Method::Get, PATH, "", "");
    assert!(shown.body.contains("\"source\":\"view\""), "{shown:?}");
    let status = fixture.send_authorized(Method::Get, "/v1/status", "", "");
    assert_eq!(status.status, 200, "{status:?}");
    let refused = fixture.send_authorized(Method::Put, PATH, &expected_version, PROFILE);
    let text = refusal(&refused);
    assert!(text.starts_with("503 platform_down ran=no: "), "{text}");
    assert!(refused.retry_after.is_some(), "{refused:?}");
}

#[test]
fn one_unreadable_row_does_not_hide_the_others() {
    let fixture = Fixture::new();
    fixture.create("slow");
    fixture.platform.put_row("profile/broken", Some("{"));
    let list = fixture.send_authorized(Method::Get, "/v1/profiles", "", "");
    assert_eq!(list.status, 200, "{list:?}");
    assert!(list.body.contains("\"name\":\"slow\""), "{list:?}");
}
