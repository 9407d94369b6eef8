//! Help texts: every command has examples, and every example parses.

use radishpin_cli::{Command, Input, Outcome, evaluate};

/// Splits an example command line into environment variables and arguments.
fn example_input(example: &str) -> Input {
    let mut input = Input::default();
    let mut words = example.split_whitespace().peekable();
    while let Some((name, value)) = words.peek().and_then(|word| word.split_once('=')) {
        input.env.insert(name.to_owned(), value.to_owned());
        words.next();
    }
    assert_eq!(words.next(), Some("radishpin"), "{example}");
    input.args = words.map(str::to_owned).collect();
    input
}

#[test]
fn every_example_parses() {
    for command in Command::ALL {
        let spec = command.spec();
        assert!(!spec.examples.is_empty(), "{}", spec.name);
        for example in spec.examples {
            let outcome = evaluate(&example_input(example));
            let is_expected = match outcome {
                Outcome::Run(parsed, _) => parsed == command,
                Outcome::Checked(..) => command == Command::Check,
                Outcome::Print(_) | Outcome::Invalid(_) => false,
            };
            assert!(is_expected, "{example}: {outcome:?}");
        }
    }
}

#[test]
fn every_command_has_help_with_its_flags() {
    for command in Command::ALL {
        let spec = command.spec();
        let args = vec![spec.name.to_owned(), "--help".to_owned()];
        let input = Input {
            args,
            ..Input::default()
        };
        let Outcome::Print(text) = evaluate(&input) else {
            panic!("{}: no help", spec.name);
        };
        for setting in spec.settings {
            assert!(
                text.contains(&format!("--{}", setting.flag)),
                "{}: {}",
                spec.name,
                setting.flag
            );
        }
        for example in spec.examples {
            assert!(text.contains(example), "{}: {example}", spec.name);
        }
    }
}

#[test]
fn environment_variables_are_named_after_their_flags() {
    for setting in Command::ALL.iter().flat_map(|c| c.spec().settings) {
        let Some(env) = setting.env else { continue };
        let flag = setting.flag.to_ascii_uppercase().replace('-', "_");
        let expected = format!("RADISHPIN_{}", flag.trim_end_matches("_FILE"));
        assert_eq!(env, expected);
    }
}

#[test]
fn overview() {
    let input = example_input("radishpin --help");
    let Outcome::Print(text) = evaluate(&input) else {
        panic!("no overview");
    };
    insta::assert_snapshot!(text);
}

#[test]
fn agent_help() {
    let input = example_input("radishpin agent --help");
    let Outcome::Print(text) = evaluate(&input) else {
        panic!("no help");
    };
    insta::assert_snapshot!(text);
}

#[test]
fn the_example_profile_in_the_help_is_valid() {
    let notes = Command::Profile.spec().notes;
    let start = notes.find('{').unwrap();
    radishpin_protocol::Profile::parse(&notes[start..]).unwrap();
}
