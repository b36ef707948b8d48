//! The encoding of messages and what they are about.

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Version of the protocol between instances.
pub const PROTOCOL: u16 = 2;

/// Largest message, in bytes.
pub const MAX_FRAME: usize = 4 << 20;

/// Which subsystem a message belongs to.
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
    /// Evidence counters of moves.
    Evidence,
    /// Use of accounts' shares.
    Usage,
    /// Load and health of targets.
    Load,
    /// Targets that leave.
    Leaving,
    /// Actions that may not repeat.
    Action,
    /// News of the platform.
    News,
    /// What an instance reports to the aggregator of its failure domain.
    Report,
    /// What aggregators tell each other.
    Summary,
    /// Where a run's copy lies.
    Run,
}

impl Tag {
    /// All tags, by their number on the wire.
    pub(crate) const ALL: [Self; 14] = [
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
        Self::News,
        Self::Report,
        Self::Summary,
        Self::Run,
    ];
}

/// Encodes a message.
///
/// # Panics
/// When the value's serde implementation fails, which plain data never does.
#[must_use]
pub fn encode<T: Serialize>(value: &T) -> Bytes {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .expect("plain data can be encoded")
        .into()
}

/// Decodes a message; `None` when it is malformed, too large or has bytes left over.
#[must_use]
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let config = bincode::config::standard().with_limit::<MAX_FRAME>();
    match bincode::serde::decode_from_slice(bytes, config) {
        Ok((value, read)) if read == bytes.len() => Some(value),
        _ => None,
    }
}
