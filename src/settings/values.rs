//! Reading and checking the settings of one command.

use super::{Fault, Input, Kind, Presence, Setting, TimeSpec, Value, args::parse_args};
use getopts::Matches;
use radishpin_server::Token;
use std::{
    collections::{BTreeMap, BTreeSet},
    fs::File,
    io::{self, Read},
    net::SocketAddr,
    time::Duration,
};

/// Bytes read from a token file, more than the longest token has.
const TOKEN_FILE_BYTES: u64 = 4_096;

/// The checked settings and operands of a command.
#[derive(Clone, Debug, Default)]
pub struct Values {
    values: BTreeMap<&'static str, Value>,
    given: BTreeSet<&'static str>,
    operands: Vec<String>,
    help: bool,
}

impl Values {
    /// Reads all settings of `command`; returns the valid ones, and every fault in the others.
    pub fn read(
        command: &'static str,
        settings: &[&'static Setting],
        input: &Input,
    ) -> (Self, Vec<Fault>) {
        let mut faults = Vec::new();
        let matches = parse_args(command, settings, &input.args, &mut faults);
        let mut values = Self {
            help: matches.opt_present("help"),
            operands: matches.free.clone(),
            ..Self::default()
        };
        for setting in settings {
            if is_given(setting, &matches, input) {
                values.given.insert(setting.flag);
            }
            match read_setting(setting, &matches, input) {
                Ok(Some(value)) => {
                    values.values.insert(setting.flag, value);
                }
                Ok(None) => {}
                // `parse_args` has already reported the invalid flag.
                Err(Fault::Missing { .. }) if was_reported(&faults, setting) => {}
                Err(fault) => faults.push(fault),
            }
        }
        (values, faults)
    }

    /// Whether `--help` was given.
    pub fn wants_help(&self) -> bool {
        self.help
    }

    /// Arguments that are not flags, in the given order.
    pub fn operands(&self) -> &[String] {
        &self.operands
    }

    /// Whether the setting was given, even if invalid; a default does not count.
    pub fn is_given(&self, setting: &Setting) -> bool {
        self.given.contains(setting.flag)
    }

    /// Whether the switch is on; `false` if it was not given.
    pub fn switch(&self, setting: &Setting) -> bool {
        matches!(self.values.get(setting.flag), Some(Value::Switch(true)))
    }

    /// Text value; `None` if the setting has no value.
    pub fn optional_text(&self, setting: &Setting) -> Option<&str> {
        match self.values.get(setting.flag) {
            Some(Value::Text(text)) => Some(text),
            _ => None,
        }
    }

    /// Number; `None` if the setting has no value.
    pub fn optional_number(&self, setting: &Setting) -> Option<u64> {
        match self.values.get(setting.flag) {
            Some(Value::Number(number)) => Some(*number),
            _ => None,
        }
    }

    /// Point in time, not yet resolved; `None` if the setting has no value.
    pub fn optional_time(&self, setting: &Setting) -> Option<TimeSpec> {
        match self.values.get(setting.flag) {
            Some(Value::Time(time)) => Some(*time),
            _ => None,
        }
    }

    /// Text value of a setting that is required or has a default.
    ///
    /// # Errors
    /// The setting has no value.
    pub fn text(&self, setting: &Setting) -> Result<String, Vec<Fault>> {
        let text = self.optional_text(setting).map(ToOwned::to_owned);
        text.ok_or_else(|| missing(setting))
    }

    /// Number, converted to the type that the caller needs.
    ///
    /// # Errors
    /// The setting has no value, or the value does not fit the type.
    pub fn number<T: TryFrom<u64>>(&self, setting: &Setting) -> Result<T, Vec<Fault>> {
        let number = self.optional_number(setting);
        number
            .and_then(|number| T::try_from(number).ok())
            .ok_or_else(|| missing(setting))
    }

    /// Address of a setting that is required or has a default.
    ///
    /// # Errors
    /// The setting has no value.
    pub fn address(&self, setting: &Setting) -> Result<SocketAddr, Vec<Fault>> {
        match self.values.get(setting.flag) {
            Some(Value::Address(address)) => Ok(*address),
            _ => Err(missing(setting)),
        }
    }

    /// Address; `None` if the setting has no value.
    pub fn optional_address(&self, setting: &Setting) -> Option<SocketAddr> {
        self.address(setting).ok()
    }

    /// Duration; `None` if the setting has no value.
    pub fn optional_duration(&self, setting: &Setting) -> Option<Duration> {
        self.duration(setting).ok()
    }

    /// Addresses of a list; empty if the setting has no value.
    pub fn addresses(&self, setting: &Setting) -> Vec<SocketAddr> {
        match self.values.get(setting.flag) {
            Some(Value::Addresses(addresses)) => addresses.clone(),
            _ => Vec::new(),
        }
    }

    /// Names of a list; empty if the setting has no value.
    pub fn names(&self, setting: &Setting) -> Vec<String> {
        match self.values.get(setting.flag) {
            Some(Value::Names(names)) => names.clone(),
            _ => Vec::new(),
        }
    }

    /// Duration of a setting that is required or has a default.
    ///
    /// # Errors
    /// The setting has no value.
    pub fn duration(&self, setting: &Setting) -> Result<Duration, Vec<Fault>> {
        match self.values.get(setting.flag) {
            Some(Value::Duration(duration)) => Ok(*duration),
            _ => Err(missing(setting)),
        }
    }

    /// Token, from the file that the flag names or from the environment variable.
    ///
    /// # Errors
    /// The setting has no value.
    pub fn token(&self, setting: &Setting) -> Result<Token, Vec<Fault>> {
        match self.values.get(setting.flag) {
            Some(Value::Token(token)) => Ok(token.clone()),
            _ => Err(missing(setting)),
        }
    }
}

fn missing(setting: &Setting) -> Vec<Fault> {
    vec![Fault::Missing {
        setting: setting.label(),
        allowed: setting.kind.allowed(),
    }]
}

fn is_given(setting: &Setting, matches: &Matches, input: &Input) -> bool {
    let in_env = |env: &str| input.env.contains_key(env);
    matches.opt_present(setting.flag) || setting.env.is_some_and(in_env)
}

fn was_reported(faults: &[Fault], setting: &Setting) -> bool {
    let expected_flag = format!("--{}", setting.flag);
    faults.iter().any(|fault| match fault {
        Fault::NoValue { flag, .. } | Fault::UnwantedValue { flag } => *flag == expected_flag,
        _ => false,
    })
}

fn read_setting(
    setting: &Setting,
    matches: &Matches,
    input: &Input,
) -> Result<Option<Value>, Fault> {
    if matches.opt_present(setting.flag) {
        let text = matches.opt_str(setting.flag);
        return match (setting.kind, text) {
            (Kind::Switch, _) => Ok(Some(Value::Switch(true))),
            (Kind::Token, Some(path)) => read_token_file(setting, &path).map(Some),
            (_, text) => read_text(setting, &text.unwrap_or_default(), "").map(Some),
        };
    }
    if let Some((env, text)) = setting.env.and_then(|env| input.env.get_key_value(env)) {
        return match setting.kind {
            Kind::Token => read_token(setting, env, text).map(Some),
            _ => read_text(setting, text, env).map(Some),
        };
    }
    match setting.presence {
        Presence::Default(text) => read_text(setting, text, "").map(Some),
        Presence::Optional => Ok(None),
        Presence::Required => Err(Fault::Missing {
            setting: setting.label(),
            allowed: setting.kind.allowed(),
        }),
    }
}

fn read_text(setting: &Setting, text: &str, env: &str) -> Result<Value, Fault> {
    setting.kind.parse(text).ok_or_else(|| Fault::NotAllowed {
        setting: source_label(setting, env),
        value: text.to_owned(),
        allowed: setting.kind.allowed(),
    })
}

fn read_token_file(setting: &Setting, path: &str) -> Result<Value, Fault> {
    let text = read_prefix(path).map_err(|cause| Fault::NotAllowed {
        setting: source_label(setting, ""),
        value: path.to_owned(),
        allowed: format!("a readable file ({cause})"),
    })?;
    read_token(setting, "", &text)
}

/// Reads at most [`TOKEN_FILE_BYTES`], because the path may name an endless device.
fn read_prefix(path: &str) -> io::Result<String> {
    let mut text = String::new();
    File::open(path)?
        .take(TOKEN_FILE_BYTES)
        .read_to_string(&mut text)?;
    Ok(text)
}

fn read_token(setting: &Setting, env: &str, text: &str) -> Result<Value, Fault> {
    Token::new(text)
        .map(Value::Token)
        .map_err(|cause| Fault::SecretNotAllowed {
            setting: source_label(setting, env),
            cause: cause.to_string(),
        })
}

fn source_label(setting: &Setting, env: &str) -> String {
    if env.is_empty() {
        return format!("--{}", setting.flag);
    }
    format!("--{} (from {env})", setting.flag)
}
