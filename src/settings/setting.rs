//! Declarations of settings.

use super::Kind;

/// Whether a setting must be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The command reports a fault if it is not given.
    Required,
    /// It has no value if it is not given.
    Optional,
    /// It has this value if it is not given.
    Default(&'static str),
}

/// A setting; parsing, checks and help texts all use the one declaration.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// Name of the flag, without dashes.
    pub flag: &'static str,
    /// Environment variable that is read if the flag is not given.
    pub env: Option<&'static str>,
    /// Kind of value that it takes.
    pub kind: Kind,
    /// Whether it must be given.
    pub presence: Presence,
    /// One-line description that `--help` shows.
    pub help: &'static str,
}

impl Setting {
    /// Declares a setting that must be given, by flag only.
    pub const fn required(flag: &'static str, kind: Kind, help: &'static str) -> Self {
        Self {
            flag,
            env: None,
            kind,
            presence: Presence::Required,
            help,
        }
    }

    /// Declares a setting that may be omitted, by flag only.
    pub const fn optional(flag: &'static str, kind: Kind, help: &'static str) -> Self {
        Self {
            presence: Presence::Optional,
            ..Self::required(flag, kind, help)
        }
    }

    /// Declares a setting whose default is parsed like a given value, by flag only.
    pub const fn with_default(
        flag: &'static str,
        kind: Kind,
        default: &'static str,
        help: &'static str,
    ) -> Self {
        Self {
            presence: Presence::Default(default),
            ..Self::required(flag, kind, help)
        }
    }

    /// Also reads the setting from an environment variable.
    pub const fn env(self, env: &'static str) -> Self {
        Self {
            env: Some(env),
            ..self
        }
    }

    /// Name of the setting in error messages: the flag, and the environment variable if it has one.
    pub fn label(&self) -> String {
        match self.env {
            Some(env) => format!("--{} or {env}", self.flag),
            None => format!("--{}", self.flag),
        }
    }
}
