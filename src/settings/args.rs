//! Parsing of command-line arguments that reports every syntax fault.

use super::{Fault, Kind, Setting};
use getopts::{Fail, Matches, Options};

/// Parses the arguments. Removes each invalid one and parses again, so that every fault is
/// reported.
pub(super) fn parse_args(
    command: &'static str,
    settings: &[&'static Setting],
    args: &[String],
    faults: &mut Vec<Fault>,
) -> Matches {
    let options = options(settings);
    let mut args = args.to_vec();
    loop {
        let parse_error = match options.parse(&args) {
            Ok(matches) => return matches,
            Err(parse_error) => parse_error,
        };
        let name = flag_name(&parse_error);
        faults.push(flag_fault(command, settings, &parse_error));
        let Some(position) = args.iter().rposition(|arg| is_flag(arg, name)) else {
            // The invalid argument cannot be located; parse an empty list to end the loop.
            args.clear();
            continue;
        };
        let flag = args.remove(position);
        let has_separate_value = matches!(parse_error, Fail::OptionDuplicated(_))
            && !flag.contains('=')
            && takes_value(settings, name)
            && position < args.len();
        if has_separate_value {
            args.remove(position);
        }
    }
}

fn takes_value(settings: &[&'static Setting], name: &str) -> bool {
    let setting = settings.iter().find(|setting| setting.flag == name);
    setting.is_some_and(|setting| setting.kind != Kind::Switch)
}

fn options(settings: &[&'static Setting]) -> Options {
    let mut options = Options::new();
    options.optflag("", "help", "");
    for setting in settings {
        match setting.kind {
            Kind::Switch => options.optflag("", setting.flag, ""),
            _ => options.optopt("", setting.flag, "", ""),
        };
    }
    options
}

fn flag_name(parse_error: &Fail) -> &str {
    match parse_error {
        Fail::ArgumentMissing(name)
        | Fail::UnrecognizedOption(name)
        | Fail::OptionMissing(name)
        | Fail::OptionDuplicated(name)
        | Fail::UnexpectedArgument(name) => name,
    }
}

fn is_flag(arg: &str, name: &str) -> bool {
    let Some(flag) = arg.strip_prefix('-') else {
        return false;
    };
    match flag.strip_prefix('-') {
        Some(long) => long.split('=').next() == Some(name),
        None => flag.contains(name),
    }
}

fn flag_fault(command: &'static str, settings: &[&'static Setting], parse_error: &Fail) -> Fault {
    let name = flag_name(parse_error);
    let flag = match name.chars().count() {
        1 => format!("-{name}"),
        _ => format!("--{name}"),
    };
    match parse_error {
        Fail::ArgumentMissing(_) => {
            let setting = settings.iter().find(|setting| setting.flag == name);
            let allowed = setting.map(|setting| setting.kind.allowed());
            Fault::NoValue {
                flag,
                allowed: allowed.unwrap_or_default(),
            }
        }
        Fail::UnrecognizedOption(_) | Fail::OptionMissing(_) => {
            Fault::UnknownFlag { flag, command }
        }
        Fail::OptionDuplicated(_) => Fault::Repeated { flag },
        Fail::UnexpectedArgument(_) => Fault::UnwantedValue { flag },
    }
}
