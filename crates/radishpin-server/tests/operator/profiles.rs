//! Profiles and services: conditional changes, validation of documents, history.

use crate::fixture::{Fixture, PROFILE, refusal, version};
use http_types::Method;

const PATH: &str = "/v1/profiles/slow";

#[test]
fn a_profile_is_created_replaced_and_shown() {
    let fixture = Fixture::new();
    let first = fixture.create("slow");
    let longer_patience = PROFILE.replace("5000", "9000");
    let expected_version = first.to_string();
    let replaced = fixture.send_authorized(Method::Put, PATH, &expected_version, &longer_patience);
    assert_eq!(replaced.status, 200, "{replaced:?}");
    let shown = fixture.send_authorized(Method::Get, PATH, "", "");
    insta::assert_snapshot!(shown.body, @r#"{"name":"slow","version":2,"profile":{"format":1,"min_loaded":0,"max_replicas":2,"idle_unload_ms":60000,"patience_ms":9000,"priority":5,"class":"interactive","idempotent":true},"services":[],"source":"platform"}"#);
    let history = fixture.send_authorized(Method::Get, "/v1/profiles/slow/history", "", "");
    insta::assert_snapshot!(history.body, @r#"{"history":[{"version":1,"profile":{"format":1,"min_loaded":0,"max_replicas":2,"idle_unload_ms":60000,"patience_ms":5000,"priority":5,"class":"interactive","idempotent":true}}]}"#);
    let list = fixture.send_authorized(Method::Get, "/v1/profiles", "", "");
    insta::assert_snapshot!(list.body, @r#"{"profiles":[{"name":"slow","version":2,"profile":{"format":1,"min_loaded":0,"max_replicas":2,"idle_unload_ms":60000,"patience_ms":9000,"priority":5,"class":"interactive","idempotent":true},"services":[],"source":"platform"}]}"#);
}

#[test]
fn a_change_must_expect_the_current_version() {
    let fixture = Fixture::new();
    let first = fixture.create("slow");
    let unseen = fixture.send_authorized(Method::Put, PATH, "", PROFILE);
    let zero = fixture.send_authorized(Method::Put, PATH, "0", PROFILE);
    let quoted = fixture.send_authorized(Method::Put, PATH, &format!("\"{first}\""), PROFILE);
    let stale = fixture.send_authorized(Method::Put, PATH, &first.to_string(), PROFILE);
    let absent = fixture.send_authorized(Method::Put, "/v1/profiles/other", "7", PROFILE);
    let malformed = fixture.send_authorized(Method::Put, PATH, "soon", PROFILE);
    assert_eq!(quoted.status, 200, "{quoted:?}");
    let lines = [unseen, zero, stale, absent, malformed].map(|answer| refusal(&answer));
    insta::assert_snapshot!(lines.join("\n"), @"
    409 version_conflict ran=no current 1: profile/slow exists at version 1; the order names none
    409 version_conflict ran=no current 1: profile/slow exists at version 1; the order names none
    409 version_conflict ran=no current 2: profile/slow stands at version 2; the order names 1
    409 version_conflict ran=no current 0: profile/other does not exist (any more); the order names version 7
    400 invalid_field ran=no: If-Match: not a version; allowed: a whole number, 0 for a new document
    ");
}

#[test]
fn a_deleted_profile_can_be_created_again() {
    let fixture = Fixture::new();
    let first = fixture.create("slow").to_string();
    let deleted = fixture.send_authorized(Method::Delete, PATH, &first, "");
    assert_eq!(deleted.status, 200, "{deleted:?}");
    let gone = fixture.send_authorized(Method::Get, PATH, "", "");
    let again = fixture.send_authorized(Method::Delete, PATH, &first, "");
    let stale = fixture.send_authorized(Method::Put, PATH, &first, PROFILE);
    let lines = [gone, again, stale].map(|answer| refusal(&answer));
    insta::assert_snapshot!(lines.join("\n"), @"
    404 unknown_profile ran=no: no profile slow
    404 unknown_profile ran=no: no profile slow
    409 version_conflict ran=no current 0: profile/slow does not exist (any more); the order names version 1
    ");
    let created = fixture.send_authorized(Method::Put, PATH, "", PROFILE);
    assert_eq!(created.status, 201, "{created:?}");
    let history = fixture.send_authorized(Method::Get, "/v1/profiles/slow/history", "", "");
    assert!(history.body.contains("\"version\":"), "{history:?}");
}

#[test]
fn invalid_documents_are_refused() {
    let fixture = Fixture::new();
    let unknown = PROFILE.replace("\"format\"", "\"replicas\":1,\"format\"");
    let out_of_range = PROFILE
        .replace("\"priority\":5", "\"priority\":50")
        .replace("5000", "1");
    let duplicate_field = PROFILE.replace("\"format\"", "\"priority\":1,\"format\"");
    let lines = [unknown.as_str(), &out_of_range, &duplicate_field, "", "[]"]
        .map(|document| refusal(&fixture.send_authorized(Method::Put, PATH, "", document)));
    insta::assert_snapshot!(lines.join("\n"), @"
    422 document_invalid ran=no: replicas: unknown field `replicas`, expected one of `format`, `min_loaded`, `max_replicas`, `idle_unload_ms`, `patience_ms`, `priority`, `class`, `idempotent` at line 1 column 11; see `radishpin profile set --help` for a whole document
    422 document_invalid ran=no: patience_ms: 1 is outside 10 to 3600000; priority: 50 is outside 0 to 9
    422 document_invalid ran=no: priority: duplicate field `priority` at line 1 column 109; see `radishpin profile set --help` for a whole document
    422 document_invalid ran=no: .: expected an object; see `radishpin profile set --help` for a whole document
    422 document_invalid ran=no: .: expected an object; see `radishpin profile set --help` for a whole document
    ");
}

#[test]
fn a_profile_in_use_is_not_deleted() {
    let fixture = Fixture::new();
    let slow = fixture.create("slow").to_string();
    let fast = fixture.create("fast");
    let service = "/v1/services/drafting";
    let pick = r#"{"profile":"slow","kind":"models"}"#;
    let picked = fixture.send_authorized(Method::Put, service, "", pick);
    assert_eq!(picked.status, 201, "{picked:?}");
    let refused = fixture.send_authorized(Method::Delete, PATH, &slow, "");
    insta::assert_snapshot!(refusal(&refused), @"409 profile_in_use ran=no: profile slow is used by drafting");
    let expected_version = version(&picked).to_string();
    let other = fixture.send_authorized(
        Method::Put,
        service,
        &expected_version,
        r#"{"profile":"fast"}"#,
    );
    assert_eq!(other.status, 200, "{other:?}");
    let deleted = fixture.send_authorized(Method::Delete, PATH, &slow, "");
    assert_eq!(deleted.status, 200, "{deleted:?}");
    let refused =
        fixture.send_authorized(Method::Delete, "/v1/profiles/fast", &fast.to_string(), "");
    assert_eq!(refused.status, 409, "{refused:?}");
}

#[test]
fn a_service_needs_an_existing_profile_and_a_kind() {
    let fixture = Fixture::new();
    fixture.create("slow");
    let service = "/v1/services/drafting";
    let put =
        |if_match: &str, body: &str| fixture.send_authorized(Method::Put, service, if_match, body);
    let no_profile = put("", r#"{"profile":"none","kind":"plain"}"#);
    let no_kind = put("", r#"{"profile":"slow"}"#);
    let unknown = put("", r#"{"profile":"slow","kind":"plain","weight":1}"#);
    let absent = fixture.send_authorized(Method::Get, service, "", "");
    let created = put("", r#"{"profile":"slow","kind":"plain"}"#);
    let expected_version = version(&created).to_string();
    let other_kind = put(&expected_version, r#"{"profile":"slow","kind":"models"}"#);
    let lines = [no_profile, no_kind, unknown, absent, other_kind].map(|answer| refusal(&answer));
    insta::assert_snapshot!(lines.join("\n"), @"
    404 unknown_profile ran=no: profile: no profile none
    422 document_invalid ran=no: kind: needed for a new service
    422 document_invalid ran=no: weight: unknown field `weight`, expected `profile` or `kind` at line 1 column 41
    404 unknown_service ran=no: no service drafting
    422 document_invalid ran=no: kind: cannot change; name a new service
    ");
    let shown = fixture.send_authorized(Method::Get, service, "", "");
    insta::assert_snapshot!(shown.body, @r#"{"name":"drafting","version":2,"kind":"plain","profile":"slow","source":"platform"}"#);
}

#[test]
fn paths_and_methods_are_checked() {
    let fixture = Fixture::new();
    let send_authorized = |method, path| refusal(&fixture.send_authorized(method, path, "", ""));
    let lines = [
        send_authorized(Method::Get, "/"),
        send_authorized(Method::Get, "/v2/profiles"),
        send_authorized(Method::Post, "/v1/profiles"),
        send_authorized(Method::Patch, "/v1/profiles/slow"),
        send_authorized(Method::Get, "/v1/profiles/.hidden"),
        send_authorized(Method::Get, "/v1/profiles/a%2Fb"),
        send_authorized(Method::Get, "/v1/chat/completions"),
    ];
    insta::assert_snapshot!(lines.join("\n"), @r#"
    404 unknown_path ran=no: no path "/"
    404 unknown_path ran=no: no path "/v2/profiles"
    405 method_not_allowed ran=no: POST is not allowed; allowed: GET
    405 method_not_allowed ran=no: PATCH is not allowed; allowed: GET, PUT, DELETE
    400 invalid_field ran=no: the name in the path is no name: 1 to 64 of a-z, A-Z, 0-9, '.', '_' and '-', a letter or digit first
    400 invalid_field ran=no: the name in the path is no name: 1 to 64 of a-z, A-Z, 0-9, '.', '_' and '-', a letter or digit first
    404 unknown_path ran=no: no path "/v1/chat/completions"
    "#);
}
