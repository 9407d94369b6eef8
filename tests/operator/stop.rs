//! `radishpin stop`.

use crate::cluster::Cluster;

const PLAN: &str = "stop plan --from 2100-01-31T04:00:00Z --to 2100-01-31T06:00:00Z";

#[test]
fn stops_are_planned_listed_and_cancelled() {
    let cluster = Cluster::start();
    let steps = [
        format!("{PLAN} --host h1 --id window-31"),
        format!("{PLAN} --host h1 --id window-31"),
        format!("{PLAN} --availability-zone gondar --id window-31"),
        "stop list".to_owned(),
        "stop cancel window-31".to_owned(),
        "stop cancel window-31".to_owned(),
        "stop list".to_owned(),
    ];
    let shown: Vec<String> = steps.iter().map(|step| cluster.run(step)).collect();
    insta::assert_snapshot!(shown.join("\n"));
}

#[test]
fn relative_times_count_from_now() {
    let cluster = Cluster::start();
    let planned = cluster.run("stop plan --host h1 --from +10m --to +40m --id soon --json");
    assert!(planned.starts_with("exit 0\n"), "{planned}");
    let row = cluster.platform.row("stop/soon").value.unwrap();
    let row: serde_json::Value = serde_json::from_str(&row).unwrap();
    let bound = |name: &str| row[name].as_u64().unwrap();
    assert_eq!(bound("to_unix_ms") - bound("from_unix_ms"), 30 * 60 * 1_000);
}

#[test]
fn a_plan_reports_all_invalid_settings_before_it_is_sent() {
    let cluster = Cluster::start();
    insta::assert_snapshot!(cluster.run("stop plan --from now --host h1 --availability-zone z1"), @r#"
    exit 2
    --from: "now" is not allowed; allowed: RFC 3339 in UTC such as 2030-01-31T04:00:00Z, or +10m from now
    --to: missing; allowed: RFC 3339 in UTC such as 2030-01-31T04:00:00Z, or +10m from now
    --host: h1 contradicts another setting; allowed: exactly one of --host and --availability-zone
    "#);
    insta::assert_snapshot!(cluster.run("stop plan --from 2100-01-31T04:00:00Z --to 2100-01-31T03:00:00Z"), @"
    exit 2
    --host: missing; allowed: exactly one of --host and --availability-zone
    --to: 2100-01-31T03:00:00.000Z contradicts another setting; allowed: after --from, 2100-01-31T04:00:00.000Z
    ");
    insta::assert_snapshot!(cluster.run("stop"), @"
    exit 2
    no action: not allowed here; allowed: plan, list, cancel ID
    ");
    insta::assert_snapshot!(cluster.run("stop cancel a/b"), @"
    exit 2
    cancel a/b: not allowed here; allowed: plan, list, cancel ID
    ");
}

#[test]
fn environment_variables_of_a_role_do_not_set_the_target() {
    let cluster = Cluster::start();
    // Tests run in parallel, so the variable is set only for the child process.
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_radishpin"))
        .args(PLAN.split_whitespace())
        .env("RADISHPIN_SERVER", cluster.address.to_string())
        .env("RADISHPIN_TOKEN", crate::cluster::TOKEN)
        .env("RADISHPIN_HOST", "h1")
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
}
