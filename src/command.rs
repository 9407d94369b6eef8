//! The registry of commands.

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

/// What a command is called and which settings it takes.
#[derive(Debug)]
pub struct CommandSpec {
    /// Name as the user types it.
    pub name: &'static str,
    /// One line on what it does.
    pub summary: &'static str,
    /// What follows the name, one entry for each form.
    pub usages: &'static [&'static str],
    /// Its settings.
    pub settings: &'static [&'static Setting],
    /// Whole command lines that its help shows.
    pub examples: &'static [&'static str],
    /// Further text for its help, whole lines.
    pub notes: &'static str,
    /// Checks operands, and rules between settings that are sound by themselves.
    pub check: fn(&Values) -> Vec<Fault>,
}

/// A command of the binary.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Command {
    /// Everything in one process, to try it.
    Try,
    /// The role on an entry host.
    Node,
    /// The role beside an endpoint.
    Agent,
    /// The role on an entry host of a platform with a table store.
    Gateway,
    /// The role beside a model engine of such a platform.
    Sidecar,
    /// Stand-ins for other processes.
    Standin,
    /// Checks settings and documents without starting.
    Check,
    /// Profiles.
    Profile,
    /// Planned stops.
    Stop,
    /// State of the cluster.
    Status,
    /// Load and checks of what came of it.
    Load,
    /// What became of a request, from logs.
    Explain,
}

impl Command {
    /// Every command, in the order of the help.
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

    /// The command with this name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|command| command.name() == name)
    }

    /// The command with this name, if it starts a long-running process.
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

    /// Reads the files that the settings of a role name.
    ///
    /// # Errors
    /// A file cannot be read, or is not of the expected form.
    pub fn check_files(self, values: &Values) -> Result<(), CommandError> {
        if matches!(self, Self::Gateway | Self::Sidecar) {
            let path = values.text(&common::BOOT)?;
            radishpin_gateway::read_settings(path.as_ref())?;
        }
        Ok(())
    }

    /// Where its log lines go.
    pub fn log_output(self) -> LogOutput {
        match self {
            Self::Gateway | Self::Sidecar => LogOutput::Stdout,
            _ => LogOutput::Stderr,
        }
    }

    /// Its settings and help.
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

    /// Runs the command with checked settings.
    ///
    /// # Errors
    /// The command fails; bad settings are found before.
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

/// For a command that takes no operands.
fn reject_operands(values: &Values) -> Vec<Fault> {
    let extra = values.operands().iter();
    extra
        .map(|operand| Fault::Operand {
            operand: operand.clone(),
            allowed: "flags only".into(),
        })
        .collect()
}
