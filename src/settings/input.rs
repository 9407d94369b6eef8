//! Sources of settings.

use std::{collections::BTreeMap, env};

/// Arguments and environment variables from which settings are read.
#[derive(Clone, Debug, Default)]
pub struct Input {
    /// Arguments, without the program's name.
    pub args: Vec<String>,
    /// Environment variables by name, also those that no setting uses.
    pub env: BTreeMap<String, String>,
}

impl Input {
    /// Reads the arguments and environment of this process; invalid UTF-8 becomes U+FFFD.
    pub fn from_process() -> Self {
        let args = env::args_os().skip(1);
        let vars = env::vars_os();
        Self {
            args: args.map(|a| a.to_string_lossy().into_owned()).collect(),
            env: vars
                .map(|(name, value)| {
                    let name = name.to_string_lossy().into_owned();
                    (name, value.to_string_lossy().into_owned())
                })
                .collect(),
        }
    }
}
