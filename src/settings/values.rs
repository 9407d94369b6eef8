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
    /// Reads all settings of `command`; returns what is sound, and every fault of the rest.
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
                // A flag whose own form is at fault has been reported already.
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

    /// Arguments that are no flags, in order.
    pub fn operands(&self) -> &[String] {
        &self.operands
    }

    /// Whether the setting was given, soundly or not; a default does not count.
    pub fn is_given(&self, setting: &Setting) -> bool {
        self.given.contains(setting.flag)
    }

    /// Whether the switch is on.
    pub fn switch(&self, setting: &Setting) -> bool {
        matches!(self.values.get(setting.flag), Some(Value::Switch(true)))
    }

    /// Value of an optional text.
    pub fn optional_text(&self, setting: &Setting) -> Option<&str> {
        match self.values.get(setting.flag) {
            Some(Value::Text(text)) => Some(text),
            _ => None,
        }
    }

    /// Value of an optional number.
    pub fn optional_number(&self, setting: &Setting) -> Option<u64> {
        match self.values.get(setting.flag) {
            Some(Value::Number(number)) => Some(*number),
            _ => None,
        }
    }

    /// Value of an optional time.
    pub fn optional_time(&self, setting: &Setting) -> Option<TimeSpec> {
        match self.values.get(setting.flag) {
            Some(Value::Time(time)) => Some(*time),
            _ => None,
        }
    }

    /// Value of a text.
    ///
    /// # Errors
    /// It was not given.
    pub fn text(&self, setting: &Setting) -> Result<String, Vec<Fault>> {
        let text = self.optional_text(setting).map(ToOwned::to_owned);
        text.ok_or_else(|| missing(setting))
    }

    /// Value of a number, in the type that the role uses.
    ///
    /// # Errors
    /// It was not given, or does not fit the type.
    pub fn number<T: TryFrom<u64>>(&self, setting: &Setting) -> Result<T, Vec<Fault>> {
        let number = self.optional_number(setting);
        number
            .and_then(|number| T::try_from(number).ok())
            .ok_or_else(|| missing(setting))
    }

    /// Value of an address.
    ///
    /// # Errors
    /// It was not given.
    pub fn address(&self, setting: &Setting) -> Result<SocketAddr, Vec<Fault>> {
        match self.values.get(setting.flag) {
            Some(Value::Address(address)) => Ok(*address),
            _ => Err(missing(setting)),
        }
    }

    /// Value of an optional address.
    pub fn optional_address(&self, setting: &Setting) -> Option<SocketAddr> {
        self.address(setting).ok()
    }

    /// Value of an optional duration.
    pub fn optional_duration(&self, setting: &Setting) -> Option<Duration> {
        self.duration(setting).ok()
    }

    /// Addresses of a list; none where it was not given.
    pub fn addresses(&self, setting: &Setting) -> Vec<SocketAddr> {
        match self.values.get(setting.flag) {
            Some(Value::Addresses(addresses)) => addresses.clone(),
            _ => Vec::new(),
        }
    }

    /// Names of a list; none where it was not given.
    pub fn names(&self, setting: &Setting) -> Vec<String> {
        match self.values.get(setting.flag) {
            Some(Value::Names(names)) => names.clone(),
            _ => Vec::new(),
        }
    }

    /// Value of a duration.
    ///
    /// # Errors
    /// It was not given.
    pub fn duration(&self, setting: &Setting) -> Result<Duration, Vec<Fault>> {
        match self.values.get(setting.flag) {
            Some(Value::Duration(duration)) => Ok(*duration),
            _ => Err(missing(setting)),
        }
    }

    /// Value of a token.
    ///
    /// # Errors
    /// It was not given.
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
    let own = format!("--{}", setting.flag);
    faults.iter().any(|fault| match fault {
        Fault::NoValue { flag, .. } | Fault::UnwantedValue { flag } => *flag == own,
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
    let text = read_start(path).map_err(|cause| Fault::NotAllowed {
        setting: source_label(setting, ""),
        value: path.to_owned(),
        allowed: format!("a readable file ({cause})"),
    })?;
    read_token(setting, "", &text)
}

/// The start of a file, which may be a device without end; longer than any token.
fn read_start(path: &str) -> io::Result<String> {
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
