//! What a crash of an endpoint may be held against, and how processes tell each other of it.

use crate::{
    rendezvous::mix,
    request::{PromptPartId, RequestFingerprint, SharedParts},
};
use radishpin_protocol::{engine::stable_hash, prelude::*};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Id of one run of an endpoint's process that crashed, the same at all gateways that saw it.
pub type CrashId = u64;

/// Hash of the service and the software version of endpoints. What crashes those of one variant may run
/// well at others.
pub type EndpointVariant = u64;

/// Variant of endpoints whose software version is not known. Each of them may run any version.
pub const UNKNOWN_VARIANT: EndpointVariant = 0;

/// Hash of a service and a software version; [`UNKNOWN_VARIANT`] if the version is not known.
pub fn endpoint_variant(service: &str, software_version: Option<&str>) -> EndpointVariant {
    let hash =
        |version: &str| mix(stable_hash(service.as_bytes()) ^ mix(stable_hash(version.as_bytes())));
    software_version.map_or(UNKNOWN_VARIANT, hash)
}

/// What may be to blame for a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(from = "SuspectMessage", into = "SuspectMessage")]
pub enum Suspect {
    /// A part of a prompt, whatever request it is in.
    PromptPart(PromptPartId),
    /// A whole request.
    Request(RequestFingerprint),
}

impl Suspect {
    /// What it is, for log fields.
    pub fn kind(self) -> &'static str {
        match self {
            Self::PromptPart(_) => "prompt_part",
            Self::Request(_) => "request",
        }
    }

    /// Its id among the suspects of its kind.
    pub fn id(self) -> u64 {
        match self {
            Self::PromptPart(id) | Self::Request(id) => id,
        }
    }
}

/// A [`Suspect`] as it is sent. Earlier releases know prompt parts alone, and read any id as that of one.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize, Deserialize)]
struct SuspectMessage {
    #[serde(rename = "part")]
    id: u64,
    #[serde(default)]
    kind: SuspectKind,
}

#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize, Deserialize)]
enum SuspectKind {
    #[default]
    PromptPart,
    Request,
}

impl From<SuspectMessage> for Suspect {
    fn from(message: SuspectMessage) -> Self {
        match message.kind {
            SuspectKind::PromptPart => Self::PromptPart(message.id),
            SuspectKind::Request => Self::Request(message.id),
        }
    }
}

impl From<Suspect> for SuspectMessage {
    fn from(suspect: Suspect) -> Self {
        let kind = match suspect {
            Suspect::PromptPart(_) => SuspectKind::PromptPart,
            Suspect::Request(_) => SuspectKind::Request,
        };
        Self {
            id: suspect.id(),
            kind,
        }
    }
}

/// What of one request may be to blame for crashes of the endpoints that it may be sent to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Suspects {
    all: BTreeSet<Suspect>,
    variant: EndpointVariant,
}

impl Suspects {
    /// The suspects of a request with these parts and this fingerprint, at endpoints of one variant. The
    /// fingerprint may be left out where it makes no difference.
    pub fn new(
        parts: &SharedParts,
        fingerprint: Option<RequestFingerprint>,
        variant: EndpointVariant,
    ) -> Self {
        let parts = parts.ids().map(Suspect::PromptPart);
        let request = fingerprint.map(Suspect::Request);
        Self {
            all: parts.chain(request).collect(),
            variant,
        }
    }

    /// Variant of the endpoints that the request may be sent to.
    pub fn variant(&self) -> EndpointVariant {
        self.variant
    }

    /// Whether a suspect is one of these.
    pub fn contains(&self, suspect: Suspect) -> bool {
        self.all.contains(&suspect)
    }

    /// The suspects.
    pub fn iter(&self) -> impl Iterator<Item = Suspect> {
        self.all.iter().copied()
    }
}

impl fmt::Display for Suspects {
    /// Writes the first few for a log line, with ids in hexadecimal.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        /// Largest number of suspects in a log line.
        const LOGGED_MAX: usize = 8;
        for (n, suspect) in self.iter().take(LOGGED_MAX).enumerate() {
            let separator = if n == 0 { "" } else { "," };
            write!(f, "{separator}{}:{:x}", suspect.kind(), suspect.id())?;
        }
        Ok(())
    }
}

/// A crash that is held against a suspect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CrashRecord {
    /// The crash.
    pub crash: CrashId,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
    /// Whether the suspect is known not to have caused it.
    pub cleared: bool,
    /// Variant of the endpoint that crashed.
    #[serde(default)]
    pub variant: EndpointVariant,
    /// Whether the request was sent to find out whether endpoints still crash under it.
    #[serde(default)]
    pub trial: bool,
}

/// All crashes that are held against one suspect.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SuspectCrashes {
    /// The suspect.
    #[serde(flatten)]
    pub suspect: Suspect,
    /// The crashes of endpoints that ran it.
    pub crashes: Vec<CrashRecord>,
}
