//! The declaration of a setting.

use super::Kind;

/// Whether a setting must be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It must be given.
    Required,
    /// It may be left out.
    Optional,
    /// It has this value where it is not given.
    Default(&'static str),
}

/// One setting: declared once, used by help, parsing and checks.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// Name of the flag, without dashes.
    pub flag: &'static str,
    /// Environment variable that sets it where the flag is not given.
    pub env: Option<&'static str>,
    /// What values it takes.
    pub kind: Kind,
    /// Whether it must be given.
    pub presence: Presence,
    /// What it does, for `--help`.
    pub help: &'static str,
}

impl Setting {
    /// A setting that must be given.
    pub const fn required(flag: &'static str, kind: Kind, help: &'static str) -> Self {
        Self {
            flag,
            env: None,
            kind,
            presence: Presence::Required,
            help,
        }
    }

    /// A setting that may be left out.
    pub const fn optional(flag: &'static str, kind: Kind, help: &'static str) -> Self {
        Self {
            presence: Presence::Optional,
            ..Self::required(flag, kind, help)
        }
    }

    /// A setting with a default.
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

    /// The same setting, also taken from an environment variable.
    pub const fn env(self, env: &'static str) -> Self {
        Self {
            env: Some(env),
            ..self
        }
    }

    /// How messages name it.
    pub fn label(&self) -> String {
        match self.env {
            Some(env) => format!("--{} or {env}", self.flag),
            None => format!("--{}", self.flag),
        }
    }
}
