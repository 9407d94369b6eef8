//! Settings: flags take precedence over the environment, and all faults are reported together.

use radishpin_cli::{Command, Fault, Input, Outcome, evaluate};
use std::collections::BTreeMap;

const NODE: &str = "node --name n1 --availability-zone gondar --host h1 --platform 127.0.0.1:9000";
const TOKENS: [(&str, &str); 2] = [
    ("RADISHPIN_TOKEN", "0123456789abcdef"),
    ("RADISHPIN_INTERNAL_TOKEN", "fedcba9876543210"),
];

fn input(args: &str, env: &[(&str, &str)]) -> Input {
    Input {
        args: args.split_whitespace().map(str::to_owned).collect(),
        env: env
            .iter()
            .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
            .collect::<BTreeMap<_, _>>(),
    }
}

fn faults(args: &str, env: &[(&str, &str)]) -> String {
    match evaluate(&input(args, env)) {
        Outcome::Invalid(faults) => lines(&faults),
        other => format!("{other:?}"),
    }
}

fn lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

#[test]
fn all_faults_are_reported_at_once() {
    let args = "node --name bad/name --availability-zone --listen 8080 --threads 0 \
                --poll-interval 1h --drain-timeout soon --colour red --platform 127.0.0.1:9000 --threads 3";
    let env = [
        ("RADISHPIN_TOKEN", "short-secret"),
        ("RADISHPIN_BODY_LIMIT_BYTES", "12"),
    ];
    insta::assert_snapshot!(faults(args, &env));
}

#[test]
fn secrets_do_not_appear_in_faults_or_debug_output() {
    let printed = faults(NODE, &[("RADISHPIN_TOKEN", "short-secret")]);
    assert!(!printed.contains("short-secret"), "{printed}");
    let outcome = format!("{:?}", evaluate(&input(NODE, &TOKENS)));
    assert!(outcome.starts_with("Run(Node"), "{outcome}");
    assert!(!outcome.contains("0123456789abcdef"), "{outcome}");
}

#[test]
fn a_flag_takes_precedence_over_the_environment() {
    let env = [TOKENS[0], TOKENS[1], ("RADISHPIN_THREADS", "999")];
    insta::assert_snapshot!(
        faults(NODE, &env),
        @r#"--threads (from RADISHPIN_THREADS): "999" is not allowed; allowed: 1 to 256 threads"#
    );
    let args = format!("{NODE} --threads 2");
    let Outcome::Run(Command::Node, _) = evaluate(&input(&args, &env)) else {
        panic!("the flag must take precedence over the environment variable");
    };
}

#[test]
fn contradictions_between_settings_are_reported() {
    let agent = "agent --name e1 --availability-zone gondar --host h1 --platform 127.0.0.1:9000 \
                 --listen 127.0.0.1:0 --endpoint 127.0.0.1:7000 --service drafting";
    let plain = format!("{agent} --kind plain --memory-mb 5");
    insta::assert_snapshot!(faults(agent, &TOKENS), @"--memory-mb or RADISHPIN_MEMORY_MB: 0 contradicts another setting; allowed: 1 to 16777216 MiB with --kind models");
    insta::assert_snapshot!(faults(&plain, &TOKENS), @"--memory-mb or RADISHPIN_MEMORY_MB: 5 contradicts another setting; allowed: 0 with --kind plain");
}

#[test]
fn an_agent_cannot_listen_on_an_unspecified_address() {
    let agent = "agent --name e1 --availability-zone gondar --host h1 --platform 127.0.0.1:9000 \
                 --memory-mb 1 --endpoint 127.0.0.1:7000 --service drafting --listen 0.0.0.0:8090";
    insta::assert_snapshot!(faults(agent, &TOKENS), @r#"--listen or RADISHPIN_LISTEN: "0.0.0.0:8090" is not allowed; allowed: an address of this host that nodes can connect to, not an unspecified one"#);
}

#[test]
fn check_reports_the_same_faults_as_the_role() {
    let check_args = format!("check {NODE} --threads 0");
    let role_args = format!("{NODE} --threads 0");
    assert_eq!(faults(&check_args, &TOKENS), faults(&role_args, &TOKENS));
    let Outcome::Checked(Command::Node, _) = evaluate(&input(&format!("check {NODE}"), &TOKENS))
    else {
        panic!("valid settings must pass");
    };
}

#[test]
fn a_token_file_that_is_missing_is_a_fault() {
    let args = format!("{NODE} --token-file /no/such/file");
    insta::assert_snapshot!(faults(&args, &TOKENS), @r#"--token-file: "/no/such/file" is not allowed; allowed: a readable file (No such file or directory (os error 2))"#);
}

#[test]
fn faults_of_commands_and_operands_list_what_is_allowed() {
    insta::assert_snapshot!(faults("serve", &[]), @"serve: not allowed here; allowed: try, node, agent, gateway, sidecar, standin, check, profile, stop, status, load, explain");
    insta::assert_snapshot!(faults("", &[]), @"no command: not allowed here; allowed: try, node, agent, gateway, sidecar, standin, check, profile, stop, status, load, explain");
    insta::assert_snapshot!(faults("try now", &[]), @"now: not allowed here; allowed: flags only");
    insta::assert_snapshot!(faults("try -x --seed", &[]), @"
    -x: unknown flag; see `radishpin try --help`
    --seed: has no value; allowed: 0 to 18446744073709551615 as a seed
    ");
}
