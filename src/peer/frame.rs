//! Encoding of messages between instances, and the tags that route them to subsystems.

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Version of the protocol between instances.
pub const PROTOCOL: u16 = 11;

/// Largest message, in bytes.
pub const MAX_FRAME: usize = 4 << 20;

/// Subsystem that handles a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[repr(u8)]
pub enum Tag {
    /// Heartbeats and membership.
    Heartbeat,
    /// Journals of running generations.
    Journal,
    /// Takeover of a generation.
    Takeover,
    /// Requests that may crash targets.
    Suspect,
    /// Configuration objects.
    Config,
    /// Evidence counters of traffic moves between versions.
    Evidence,
    /// Usage of account shares.
    Usage,
    /// Load and health of targets.
    Load,
    /// Targets that are leaving.
    Leaving,
    /// Actions that must not run twice.
    Action,
    /// Changes read from the platform and forwarded to other instances.
    PlatformUpdate,
    /// Reports from an instance to the aggregator of its failure domain.
    Report,
    /// Summaries exchanged between aggregators.
    Summary,
    /// Locations of runs and of their copies.
    Run,
    /// Permits for requests to targets with a limit.
    Permit,
    /// Begun runs, for an aggregator of another failure domain.
    Begun,
}

impl Tag {
    /// All tags, by their number on the wire.
    pub(crate) const ALL: [Self; 16] = [
        Self::Heartbeat,
        Self::Journal,
        Self::Takeover,
        Self::Suspect,
        Self::Config,
        Self::Evidence,
        Self::Usage,
        Self::Load,
        Self::Leaving,
        Self::Action,
        Self::PlatformUpdate,
        Self::Report,
        Self::Summary,
        Self::Run,
        Self::Permit,
        Self::Begun,
    ];
}

/// Encodes a message.
///
/// # Panics
/// When the `Serialize` implementation fails, which those of plain data never do.
#[must_use]
pub fn encode<T: Serialize>(value: &T) -> Bytes {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .expect("plain data can be encoded")
        .into()
}

/// Decodes a message. `None` if it is malformed, too large or followed by more bytes.
#[must_use]
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let config = bincode::config::standard().with_limit::<MAX_FRAME>();
    match bincode::serde::decode_from_slice(bytes, config) {
        Ok((value, read)) if read == bytes.len() => Some(value),
        _ => None,
    }
}
