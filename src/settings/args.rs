//! Parsing of arguments, with every fault in their form.

use super::{Fault, Kind, Setting};
use getopts::{Fail, Matches, Options};

/// Parses the arguments, taking out each one at fault so that the rest is checked too.
pub(super) fn parse_args(
    command: &'static str,
    settings: &[&'static Setting],
    args: &[String],
    faults: &mut Vec<Fault>,
) -> Matches {
    let options = options(settings);
    let mut args = args.to_vec();
    loop {
        let fail = match options.parse(&args) {
            Ok(matches) => return matches,
            Err(fail) => fail,
        };
        let name = flag_name(&fail);
        faults.push(flag_fault(command, settings, &fail));
        let Some(position) = args.iter().rposition(|arg| is_flag(arg, name)) else {
            // Not found again: check the rest without any argument.
            args.clear();
            continue;
        };
        let flag = args.remove(position);
        let has_own_value = matches!(fail, Fail::OptionDuplicated(_))
            && !flag.contains('=')
            && takes_value(settings, name)
            && position < args.len();
        if has_own_value {
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

fn flag_name(fail: &Fail) -> &str {
    match fail {
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

fn flag_fault(command: &'static str, settings: &[&'static Setting], fail: &Fail) -> Fault {
    let name = flag_name(fail);
    let flag = match name.chars().count() {
        1 => format!("-{name}"),
        _ => format!("--{name}"),
    };
    match fail {
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
