//! Evaluation of the command line and execution of the selected command.

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
const INVALID_SETTINGS: u8 = 2;

/// The result of evaluating the command line, before anything is started.
#[derive(Debug)]
pub enum Outcome {
    /// Print the text and exit with code 0.
    Print(String),
    /// Run the command with these settings.
    Run(Command, Values),
    /// The settings of the role are valid; check the files that they name, without starting it.
    Checked(Command, Values),
    /// The arguments or settings are invalid; holds every fault that was found.
    Invalid(Vec<Fault>),
}

/// Runs the command named by the process's arguments and returns the exit code.
pub fn main() -> ExitCode {
    match evaluate(&Input::from_process()) {
        Outcome::Print(text) => report_result(print(&text)),
        Outcome::Checked(command, values) => report_result(report_checked(command, &values)),
        Outcome::Invalid(faults) => report_result(Err(CommandError::Settings(faults))),
        Outcome::Run(command, values) => {
            let level = values.optional_text(&common::LOG_LEVEL);
            let pending_lines = start_logging(level.unwrap_or("warn"), command.log_output());
            let code = report_result(command.run(&values));
            pending_lines.wait();
            code
        }
    }
}

/// Parses the arguments and checks the settings without running anything.
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
        return check_role(role, &skip_args(input, 2));
    }
    match read_settings(command.spec(), &skip_args(input, 1)) {
        Ok(values) if values.wants_help() => Outcome::Print(command_help(command.spec())),
        Ok(values) => Outcome::Run(command, values),
        Err(faults) => Outcome::Invalid(faults),
    }
}

/// Checks the files that a role's settings name, then reports that the settings are valid.
fn report_checked(command: Command, values: &Values) -> Result<(), CommandError> {
    command.check_files(values)?;
    print(&format!("settings of {} are valid\n", command.name()))
}

fn check_role(role: Command, input: &Input) -> Outcome {
    match read_settings(role.spec(), input) {
        Ok(values) if values.wants_help() => Outcome::Print(command_help(role.spec())),
        Ok(values) => Outcome::Checked(role, values),
        Err(faults) => Outcome::Invalid(faults),
    }
}

/// Reads and checks a command's settings; `--help` takes precedence over faults.
fn read_settings(spec: &'static CommandSpec, input: &Input) -> Result<Values, Vec<Fault>> {
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

fn skip_args(input: &Input, count: usize) -> Input {
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

fn report_result(result: Result<(), CommandError>) -> ExitCode {
    let Err(error) = result else {
        return ExitCode::SUCCESS;
    };
    // Standard error may be closed; the exit code still reports the failure.
    let _ = writeln!(io::stderr(), "{error}");
    match error {
        CommandError::Settings(_) | CommandError::Gateway(_) => ExitCode::from(INVALID_SETTINGS),
        _ => ExitCode::from(FAILURE),
    }
}
