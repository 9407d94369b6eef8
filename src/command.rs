//! Commands of the `radishpin` binary, their settings and their help.

mod agent;
mod check;
mod explain;
mod gateway;
mod load;
mod node;
mod profile;
mod sidecar;
mod standin;
mod status;
mod stop;
mod r#try;

pub use explain::explain_request;

use crate::{
    CommandError,
    logging::LogOutput,
    settings::{Fault, Setting, Values, common},
};

/// Name, settings and help text of a command.
#[derive(Debug)]
pub struct CommandSpec {
    /// Name as the user types it.
    pub name: &'static str,
    /// One-line description in the overview of commands.
    pub summary: &'static str,
    /// Operands and flags after the name, one entry for each form of the command.
    pub usages: &'static [&'static str],
    /// Settings that the command accepts, in the order of its help.
    pub settings: &'static [&'static Setting],
    /// Complete command lines, shown in the help.
    pub examples: &'static [&'static str],
    /// Additional help text: empty, or complete lines that end with a newline.
    pub notes: &'static str,
    /// Validates operands, and combinations of settings that are each valid alone.
    pub check: fn(&Values) -> Vec<Fault>,
}

/// A command of the binary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Command {
    /// Runs nodes, agents and stand-ins in one process, to try the system out.
    Try,
    /// Serves callers and operators on an entry host.
    Node,
    /// Sends orders to one endpoint and reports its state.
    Agent,
    /// Serves callers on an entry host of a platform with a table store.
    Gateway,
    /// Manages one model engine on a platform with a table store.
    Sidecar,
    /// Serves a stand-in for the platform, an engine or a plain service, for tests.
    Standin,
    /// Validates the settings of a role, or profile documents, without starting anything.
    Check,
    /// Shows, changes and assigns profiles.
    Profile,
    /// Plans, lists and cancels planned stops.
    Stop,
    /// Shows the state of the cluster as reported by one node.
    Status,
    /// Generates load and checks the outcomes of its calls.
    Load,
    /// Reconstructs what happened to a request from log files.
    Explain,
}

impl Command {
    /// All commands, in the order of the help.
    pub const ALL: [Self; 12] = [
        Self::Try,
        Self::Node,
        Self::Agent,
        Self::Gateway,
        Self::Sidecar,
        Self::Standin,
        Self::Check,
        Self::Profile,
        Self::Stop,
        Self::Status,
        Self::Load,
        Self::Explain,
    ];

    /// Name as the user types it.
    pub fn name(self) -> &'static str {
        self.spec().name
    }

    /// Returns the command with this name, or `None` if there is none.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|command| command.name() == name)
    }

    /// Returns the command with this name if it starts a long-running process.
    pub fn role(name: &str) -> Option<Self> {
        let roles = [
            Self::Try,
            Self::Node,
            Self::Agent,
            Self::Gateway,
            Self::Sidecar,
            Self::Standin,
        ];
        roles.into_iter().find(|command| command.name() == name)
    }

    /// Reads and validates the boot file that the settings of a gateway or sidecar name.
    ///
    /// Does nothing for other commands.
    ///
    /// # Errors
    /// The file cannot be read or parsed.
    pub fn check_files(self, values: &Values) -> Result<(), CommandError> {
        if matches!(self, Self::Gateway | Self::Sidecar) {
            let path = values.text(&common::BOOT)?;
            radishpin_gateway::read_settings(path.as_ref())?;
        }
        Ok(())
    }

    /// Returns the stream that the log lines of this command are written to.
    pub fn log_output(self) -> LogOutput {
        match self {
            Self::Gateway | Self::Sidecar => LogOutput::Stdout,
            _ => LogOutput::Stderr,
        }
    }

    /// Returns the settings and help text of this command.
    pub fn spec(self) -> &'static CommandSpec {
        match self {
            Self::Try => &r#try::SPEC,
            Self::Node => &node::SPEC,
            Self::Agent => &agent::SPEC,
            Self::Gateway => &gateway::SPEC,
            Self::Sidecar => &sidecar::SPEC,
            Self::Standin => &standin::SPEC,
            Self::Check => &check::SPEC,
            Self::Profile => &profile::SPEC,
            Self::Stop => &stop::SPEC,
            Self::Status => &status::SPEC,
            Self::Load => &load::SPEC,
            Self::Explain => &explain::SPEC,
        }
    }

    /// Runs the command with settings that have been validated.
    ///
    /// # Errors
    /// The command fails. Invalid settings are reported before this is called.
    pub fn run(self, values: &Values) -> Result<(), CommandError> {
        match self {
            Self::Try => r#try::run(values),
            Self::Node => node::run(values),
            Self::Agent => agent::run(values),
            Self::Gateway => gateway::run(values),
            Self::Sidecar => sidecar::run(values),
            Self::Standin => standin::run(values),
            Self::Check => check::run(values),
            Self::Profile => profile::run(values),
            Self::Stop => stop::run(values),
            Self::Status => status::run(values),
            Self::Load => load::run(values),
            Self::Explain => explain::run(values),
        }
    }
}

fn operand_fault(operands: &[&str], allowed: &str) -> Fault {
    let operand = match operands {
        [] => "no action".to_owned(),
        operands => operands.join(" "),
    };
    Fault::Operand {
        operand,
        allowed: allowed.to_owned(),
    }
}

/// Reports every operand, for commands that take only flags.
fn reject_operands(values: &Values) -> Vec<Fault> {
    let extra = values.operands().iter();
    extra
        .map(|operand| Fault::Operand {
            operand: operand.clone(),
            allowed: "flags only".into(),
        })
        .collect()
}
