//! Objects, changes and instances, as the platform gives them.

use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol_str::SmolStr;

/// The condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// The object does not exist.
    Absent,
    /// The object has this revision.
    Rev(u64),
}

impl Expect {
    pub(crate) fn rev(self) -> u64 {
        match self {
            Self::Absent => 0,
            Self::Rev(rev) => rev,
        }
    }
}

/// A stored object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Object kind.
    pub kind: SmolStr,
    /// Name, unique in its kind.
    pub name: SmolStr,
    /// Revision of its last change.
    pub rev: u64,
    /// Its value.
    pub value: Value,
    /// What the system reports about it, where the platform keeps that apart from the value.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<Value>,
}

impl Object {
    /// Decodes the value.
    ///
    /// # Errors
    /// When the value does not have that shape.
    pub fn decode<T: DeserializeOwned>(&self) -> serde_json::Result<T> {
        T::deserialize(&self.value)
    }
}

/// Objects of one kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct List {
    /// Latest revision when the list was begun: a watch from here misses nothing.
    pub rev: u64,
    /// The objects by name.
    pub items: Vec<Object>,
}

/// One change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Object kind.
    pub kind: SmolStr,
    /// Object name.
    pub name: SmolStr,
    /// Revision of the change.
    pub rev: u64,
    /// The new value; none when the object was deleted.
    pub value: Option<Value>,
}

/// What a watch brought.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// Revision to watch from next.
    pub rev: u64,
    /// The changes in order of revision.
    pub events: Vec<Event>,
}

/// What an instance does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Entry instance of this system.
    Entry,
    /// Model engine.
    Engine,
    /// Plain service.
    Plain,
}

/// Whether an instance takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It does.
    #[default]
    Live,
    /// It is leaving and takes none.
    Leaving,
}

/// One entry of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// Name, unique in the list.
    pub name: SmolStr,
    /// What it does.
    pub role: Role,
    /// Where it takes work.
    pub addr: SocketAddr,
    /// Where an entry instance takes messages of its peers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer: Option<SocketAddr>,
    /// Failure domain.
    pub domain: SmolStr,
    /// Region.
    pub region: SmolStr,
    /// Service that a target runs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<SmolStr>,
    /// Version that a target runs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<SmolStr>,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: State,
}

/// The instance list; it lags.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Revision of the list.
    pub rev: u64,
    /// Its entries.
    pub items: Vec<InstanceEntry>,
}
