//! Kinds of values: how a setting's text is read and what is allowed.

use radishpin_protocol::UnixMs;
use radishpin_server::{
    Token,
    operator::{MAX_NAME_LENGTH, is_name},
};
use std::{
    net::SocketAddr,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// What values a setting takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Present or not; from the environment `true` or `false`.
    Switch,
    /// Name of a thing of the cluster.
    Name,
    /// IP address and port.
    Address,
    /// Several IP addresses and ports.
    Addresses,
    /// Several names of things of the cluster.
    Names,
    /// Whole number.
    Number {
        /// Smallest value.
        min: u64,
        /// Largest value.
        max: u64,
        /// What is counted.
        unit: &'static str,
    },
    /// Length of time with its unit.
    Duration {
        /// Shortest value.
        min: Duration,
        /// Longest value.
        max: Duration,
    },
    /// One of a few words.
    Choice(&'static [&'static str]),
    /// Secret: the flag names a file that holds it, the environment variable holds it itself.
    Token,
    /// Path of a file.
    File,
    /// Point in time, absolute or from now.
    Time,
}

/// A point in time as an operator writes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimeSpec {
    /// Absolute.
    At(UnixMs),
    /// From now.
    After(Duration),
}

impl TimeSpec {
    /// The time in milliseconds since the Unix epoch.
    pub fn resolve(self, now_unix_ms: UnixMs) -> UnixMs {
        match self {
            Self::At(unix_ms) => unix_ms,
            Self::After(wait) => now_unix_ms.saturating_add(millis(wait)),
        }
    }
}

/// A checked value.
#[derive(Clone, Debug)]
pub enum Value {
    /// Of [`Kind::Switch`].
    Switch(bool),
    /// Of [`Kind::Name`], [`Kind::Choice`] and [`Kind::File`].
    Text(String),
    /// Of [`Kind::Address`].
    Address(SocketAddr),
    /// Of [`Kind::Addresses`].
    Addresses(Vec<SocketAddr>),
    /// Of [`Kind::Names`].
    Names(Vec<String>),
    /// Of [`Kind::Number`].
    Number(u64),
    /// Of [`Kind::Duration`].
    Duration(Duration),
    /// Of [`Kind::Token`].
    Token(Token),
    /// Of [`Kind::Time`].
    Time(TimeSpec),
}

impl Kind {
    /// Reads a value; `None` where it is not allowed. Tokens are read apart.
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

    /// What is allowed, for messages and help.
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

    /// Placeholder of the value in help; empty for a switch.
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
