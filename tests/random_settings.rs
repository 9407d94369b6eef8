//! Property tests: any arguments and environment result in settings or faults, never in a panic.

use proptest::prelude::*;
use radishpin_cli::{Command, Input, Kind, Outcome, Setting, evaluate};
use std::{collections::BTreeMap, time::Duration};

fn settings() -> Vec<&'static Setting> {
    let specs = Command::ALL.iter().map(|command| command.spec());
    specs.flat_map(|spec| spec.settings).copied().collect()
}

fn argument() -> impl Strategy<Value = String> {
    let flags: Vec<String> = settings().iter().map(|s| format!("--{}", s.flag)).collect();
    let flag = prop::sample::select(flags);
    prop_oneof![
        flag.clone(),
        (flag, ".{0,12}").prop_map(|(flag, value)| format!("{flag}={value}")),
        ".{0,12}",
        "-{0,3}[a-z]{0,8}",
        "[0-9]{1,25}(ms|s|h|d|y)?",
        "\\+?[0-9]{1,20}[a-z]{0,3}",
    ]
}

proptest! {
    #[test]
    fn any_arguments_are_evaluated(
        command in prop::sample::select(Command::ALL.to_vec()),
        args in prop::collection::vec(argument(), 0..8),
        values in prop::collection::vec(".{0,20}", 0..4),
    ) {
        let names = settings().into_iter().filter_map(|setting| setting.env);
        let env: BTreeMap<String, String> =
            names.map(str::to_owned).zip(values).collect();
        let mut input = Input { args, env };
        input.args.insert(0, command.name().to_owned());
        if let Outcome::Invalid(faults) = evaluate(&input) {
            prop_assert!(!faults.is_empty());
            for fault in faults {
                prop_assert!(!fault.to_string().is_empty());
            }
        }
    }

    #[test]
    fn parsing_any_text_does_not_panic(text in ".{0,40}") {
        let max_duration = Duration::MAX;
        let kinds = [
            Kind::Switch,
            Kind::Name,
            Kind::Address,
            Kind::Number { min: 0, max: u64::MAX, unit: "calls" },
            Kind::Duration { min: Duration::ZERO, max: max_duration },
            Kind::Token,
            Kind::File,
            Kind::Time,
        ];
        for kind in kinds {
            let _ = kind.parse(&text);
        }
    }

    #[test]
    fn a_time_resolves_without_overflow(text in "\\+[0-9]{1,20}(ms|s|h|d|y)", now: u64) {
        if let Some(radishpin_cli::Value::Time(time)) = Kind::Time.parse(&text) {
            prop_assert!(time.resolve(now) >= now);
        }
    }
}
