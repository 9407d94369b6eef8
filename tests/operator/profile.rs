//! `radishpin profile`.

use crate::cluster::{Cluster, PROFILE};

#[test]
fn profiles_are_set_shown_and_deleted() {
    let cluster = Cluster::start();
    let path = cluster.file("slow.json", PROFILE);
    let patient = cluster.file("patient.json", &PROFILE.replace("5000", "60000"));
    let steps = [
        format!("profile set slow {path}"),
        format!("profile set slow {patient}"),
        format!("profile set slow {patient} --if-version 1"),
        "profile assign drafting slow --kind models".to_owned(),
        "profile list".to_owned(),
        "profile show slow --json".to_owned(),
        "profile history slow".to_owned(),
        "profile delete slow --if-version 2".to_owned(),
        "profile assign drafting none --if-version 3".to_owned(),
        "profile show none".to_owned(),
        "profile show none --json".to_owned(),
    ];
    let shown: Vec<String> = steps
        .iter()
        .map(|step| {
            let words: Vec<&str> = step.split_whitespace().take(3).collect();
            format!("$ {}\n{}", words.join(" "), cluster.run(step))
        })
        .collect();
    let shown = shown
        .join("\n")
        .replace(&request_id(&shown.join("\n")), "ID");
    insta::assert_snapshot!(shown);
}

/// Extracts the request id from a JSON error body.
fn request_id(text: &str) -> String {
    let start = text.find("\"request_id\":\"").expect("a request id") + 14;
    let length = text[start..].find('"').expect("its end");
    text[start..start + length].to_owned()
}

#[test]
fn a_document_is_checked_before_it_is_sent() {
    let cluster = Cluster::start();
    let path = cluster.file(
        "bad.json",
        &PROFILE.replace("\"priority\":5", "\"priority\":50"),
    );
    insta::assert_snapshot!(cluster.run(&format!("profile set slow {path}")), @"
    exit 1
    DIR/bad.json: priority: 50 is outside 0 to 9
    ");
    insta::assert_snapshot!(cluster.run(&format!("check profile {path}")), @"
    exit 1
    DIR/bad.json: priority: 50 is outside 0 to 9
    ");
    insta::assert_snapshot!(cluster.run("profile set slow /no/such/file"), @"
    exit 1
    /no/such/file: No such file or directory (os error 2); check the path and its permissions
    ");
    assert_eq!(cluster.platform.row("profile/slow").version, 0);
}
