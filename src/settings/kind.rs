//! Kinds of setting values: how their text is parsed and which values are allowed.

use radishpin_protocol::UnixMs;
use radishpin_server::{
    Token,
    operator::{MAX_NAME_LENGTH, is_name},
};
use std::{
    net::SocketAddr,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// The kind of value that a setting takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Flag without a value; `true` or `false` in an environment variable.
    Switch,
    /// Name of an object in the cluster, such as a node, host or service.
    Name,
    /// IP address and port.
    Address,
    /// Comma-separated IP addresses and ports.
    Addresses,
    /// Comma-separated names of objects in the cluster.
    Names,
    /// Whole number.
    Number {
        /// Smallest allowed value.
        min: u64,
        /// Largest allowed value.
        max: u64,
        /// Unit that the help and faults print after the range.
        unit: &'static str,
    },
    /// Duration with its unit, such as `500ms`.
    Duration {
        /// Shortest allowed value.
        min: Duration,
        /// Longest allowed value.
        max: Duration,
    },
    /// One of the listed words.
    Choice(&'static [&'static str]),
    /// Secret: the flag names a file that holds it, the environment variable holds it itself.
    Token,
    /// Path of a file; not opened when the setting is parsed.
    File,
    /// Point in time, absolute or relative to the current time.
    Time,
}

/// A point in time as written by an operator, absolute or relative.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimeSpec {
    /// Absolute time, given as RFC 3339 in UTC.
    At(UnixMs),
    /// Time after the moment at which the command runs, given as `+10m`.
    After(Duration),
}

impl TimeSpec {
    /// Converts to milliseconds since the Unix epoch; saturates on overflow.
    pub fn resolve(self, now_unix_ms: UnixMs) -> UnixMs {
        match self {
            Self::At(unix_ms) => unix_ms,
            Self::After(wait) => now_unix_ms.saturating_add(millis(wait)),
        }
    }
}

/// A parsed value that its [`Kind`] allows.
#[derive(Clone, Debug)]
pub enum Value {
    /// Value of a [`Kind::Switch`].
    Switch(bool),
    /// Value of a [`Kind::Name`], [`Kind::Choice`] or [`Kind::File`].
    Text(String),
    /// Value of a [`Kind::Address`].
    Address(SocketAddr),
    /// Value of a [`Kind::Addresses`].
    Addresses(Vec<SocketAddr>),
    /// Value of a [`Kind::Names`].
    Names(Vec<String>),
    /// Value of a [`Kind::Number`].
    Number(u64),
    /// Value of a [`Kind::Duration`].
    Duration(Duration),
    /// Value of a [`Kind::Token`].
    Token(Token),
    /// Value of a [`Kind::Time`].
    Time(TimeSpec),
}

impl Kind {
    /// Parses a value; returns `None` if it is not allowed.
    ///
    /// Settings of [`Kind::Token`] do not use this, so that faults never show the secret.
    pub fn parse(self, text: &str) -> Option<Value> {
        match self {
            Self::Switch => text.parse().ok().map(Value::Switch),
            Self::Name => is_name(text).then(|| Value::Text(text.to_owned())),
            Self::Address => text.parse().ok().map(Value::Address),
            Self::Addresses => {
                let addresses = text.split(',').map(|part| part.parse().ok());
                addresses.collect::<Option<_>>().map(Value::Addresses)
            }
            Self::Names => {
                let names = text
                    .split(',')
                    .map(|part| is_name(part).then(|| part.to_owned()));
                names.collect::<Option<_>>().map(Value::Names)
            }
            Self::Number { min, max, .. } => {
                let number: u64 = text.parse().ok()?;
                (min..=max)
                    .contains(&number)
                    .then_some(Value::Number(number))
            }
            Self::Duration { min, max } => {
                let duration = humantime::parse_duration(text).ok()?;
                (min..=max)
                    .contains(&duration)
                    .then_some(Value::Duration(duration))
            }
            Self::Choice(words) => words.contains(&text).then(|| Value::Text(text.to_owned())),
            Self::Token => Token::new(text).ok().map(Value::Token),
            Self::File => (!text.is_empty()).then(|| Value::Text(text.to_owned())),
            Self::Time => parse_time(text).map(Value::Time),
        }
    }

    /// Describes the allowed values, for error messages and help texts.
    pub fn allowed(self) -> String {
        match self {
            Self::Switch => "true or false".into(),
            Self::Name => {
                format!(
                    "1 to {MAX_NAME_LENGTH} of a-z, A-Z, 0-9, '.', '_' and '-', \
                     a letter or digit first"
                )
            }
            Self::Address => "IP:PORT, such as 127.0.0.1:8080 or [::1]:8080".into(),
            Self::Addresses => "IP:PORT,IP:PORT.. without spaces".into(),
            Self::Names => format!("NAME,NAME.. without spaces, each {}", Self::Name.allowed()),
            Self::Number { min, max, unit } => format!("{min} to {max} {unit}"),
            Self::Duration { min, max } => {
                let min = humantime::format_duration(min);
                let max = humantime::format_duration(max);
                format!("{min} to {max}, such as 500ms or 10s")
            }
            Self::Choice(words) => words.join(", "),
            Self::Token => format!(
                "a file, or the environment variable, with {} to {} visible ASCII characters",
                Token::MIN_CHARACTERS,
                Token::MAX_CHARACTERS
            ),
            Self::File => "path of a file".into(),
            Self::Time => "RFC 3339 in UTC such as 2030-01-31T04:00:00Z, or +10m from now".into(),
        }
    }

    /// Placeholder of the value in help texts; empty for a switch.
    pub const fn placeholder(self) -> &'static str {
        match self {
            Self::Switch => "",
            Self::Name => "NAME",
            Self::Address => "IP:PORT",
            Self::Addresses => "IP:PORT,..",
            Self::Names => "NAME,..",
            Self::Number { .. } => "N",
            Self::Duration { .. } => "DURATION",
            Self::Choice(_) => "WORD",
            Self::Token | Self::File => "FILE",
            Self::Time => "TIME",
        }
    }
}

fn parse_time(text: &str) -> Option<TimeSpec> {
    if let Some(wait) = text.strip_prefix('+') {
        return humantime::parse_duration(wait).ok().map(TimeSpec::After);
    }
    let at: SystemTime = humantime::parse_rfc3339(text).ok()?;
    let since_epoch = at.duration_since(UNIX_EPOCH).ok()?;
    Some(TimeSpec::At(millis(since_epoch)))
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
