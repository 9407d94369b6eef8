//! From the process's arguments to its exit code.

use crate::{
    CommandError,
    command::{Command, CommandSpec},
    logging::start_logging,
    settings::{Fault, Input, Values, command_help, common, overview},
};
use std::{
    io::{self, Write},
    process::ExitCode,
};

const FAILURE: u8 = 1;
const BAD_SETTINGS: u8 = 2;

/// What the arguments ask for, before anything is started.
#[derive(Debug)]
pub enum Outcome {
    /// Print this and end well.
    Print(String),
    /// Run the command.
    Run(Command, Values),
    /// Check the settings of a role and end well.
    Checked(Command, Values),
    /// Bad settings, all of them.
    Invalid(Vec<Fault>),
}

/// Runs the command that the process's arguments name.
pub fn main() -> ExitCode {
    match evaluate(&Input::from_process()) {
        Outcome::Print(text) => finish(print(&text)),
        Outcome::Checked(command, values) => finish(report_checked(command, &values)),
        Outcome::Invalid(faults) => finish(Err(CommandError::Settings(faults))),
        Outcome::Run(command, values) => {
            let level = values.optional_text(&common::LOG_LEVEL);
            let last_lines = start_logging(level.unwrap_or("warn"), command.log_output());
            let code = finish(command.run(&values));
            last_lines.wait();
            code
        }
    }
}

/// Reads the arguments and checks the settings without running anything.
pub fn evaluate(input: &Input) -> Outcome {
    let Some(first) = input.args.first() else {
        return Outcome::Invalid(vec![unknown_command("no command")]);
    };
    match first.as_str() {
        "--help" | "-h" | "help" => return Outcome::Print(overview()),
        "--version" | "-V" => return Outcome::Print(version()),
        _ => {}
    }
    let Some(command) = Command::from_name(first) else {
        return Outcome::Invalid(vec![unknown_command(first)]);
    };
    if command == Command::Check
        && let Some(role) = input.args.get(1).and_then(|name| Command::role(name))
    {
        return check_role(role, &without(input, 2));
    }
    match read(command.spec(), &without(input, 1)) {
        Ok(values) if values.wants_help() => Outcome::Print(command_help(command.spec())),
        Ok(values) => Outcome::Run(command, values),
        Err(faults) => Outcome::Invalid(faults),
    }
}

/// Says that a role's settings are valid, after a look at the file that they name.
fn report_checked(command: Command, values: &Values) -> Result<(), CommandError> {
    command.check_files(values)?;
    print(&format!("settings of {} are valid\n", command.name()))
}

fn check_role(role: Command, input: &Input) -> Outcome {
    match read(role.spec(), input) {
        Ok(values) if values.wants_help() => Outcome::Print(command_help(role.spec())),
        Ok(values) => Outcome::Checked(role, values),
        Err(faults) => Outcome::Invalid(faults),
    }
}

/// Reads and checks a command's settings; `--help` wins over faults.
fn read(spec: &'static CommandSpec, input: &Input) -> Result<Values, Vec<Fault>> {
    let (values, mut faults) = Values::read(spec.name, spec.settings, input);
    if values.wants_help() {
        return Ok(values);
    }
    faults.extend((spec.check)(&values));
    if faults.is_empty() {
        Ok(values)
    } else {
        Err(faults)
    }
}

fn without(input: &Input, count: usize) -> Input {
    Input {
        args: input.args.iter().skip(count).cloned().collect(),
        env: input.env.clone(),
    }
}

fn unknown_command(name: &str) -> Fault {
    let names: Vec<&str> = Command::ALL.iter().map(|command| command.name()).collect();
    Fault::Operand {
        operand: name.to_owned(),
        allowed: names.join(", "),
    }
}

fn version() -> String {
    format!("radishpin {}\n", env!("CARGO_PKG_VERSION"))
}

fn print(text: &str) -> Result<(), CommandError> {
    io::stdout().write_all(text.as_bytes())?;
    Ok(())
}

fn finish(result: Result<(), CommandError>) -> ExitCode {
    let Err(error) = result else {
        return ExitCode::SUCCESS;
    };
    // Standard error may be closed; the exit code still tells.
    let _ = writeln!(io::stderr(), "{error}");
    match error {
        CommandError::Settings(_) | CommandError::Gateway(_) => ExitCode::from(BAD_SETTINGS),
        _ => ExitCode::from(FAILURE),
    }
}
