//! Objects, changes and instances as the platform API represents them.

use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol_str::SmolStr;

use super::Unreadable;
use crate::json::{Listing, SplitError, decode, field};

/// The precondition of a write.
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
    /// Name, unique within its kind.
    pub name: SmolStr,
    /// Revision of the last change.
    pub rev: u64,
    /// Current value.
    pub value: Value,
    /// Observed status, on platforms that store it separately from the value.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<Value>,
}

impl Object {
    /// Decodes the value as a `T`.
    ///
    /// # Errors
    /// When the value does not deserialize into `T`.
    pub fn decode<T: DeserializeOwned>(&self) -> serde_json::Result<T> {
        T::deserialize(&self.value)
    }
}

/// A list of objects of one kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct List {
    /// Latest revision when the list was started: a watch from here misses no change. 0 when it
    /// follows an unclosed entry.
    pub rev: u64,
    /// The objects, sorted by name. One that can't be decoded has the value null.
    pub items: Vec<Object>,
    /// The entries that can't be decoded.
    #[serde(skip)]
    pub unreadable: Vec<Unreadable>,
    /// Whether the last entry is unclosed: the list has to be continued after it.
    #[serde(skip)]
    pub is_cut: bool,
}

/// A change of one object.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// Object kind.
    pub kind: SmolStr,
    /// Object name.
    pub name: SmolStr,
    /// Revision of the change.
    pub rev: u64,
    /// The new value; `None` if the object was deleted.
    pub value: Option<Value>,
}

/// The result of a watch call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// Revision to watch from next: that of the last event when it is unclosed, 0 when that is
    /// unknown.
    pub rev: u64,
    /// The changes, ordered by revision. A value that can't be decoded is null.
    pub events: Vec<Event>,
    /// The entries that can't be decoded.
    #[serde(skip)]
    pub unreadable: Vec<Unreadable>,
    /// Whether the last event is unclosed: later ones are missing.
    #[serde(skip)]
    pub is_cut: bool,
}

/// The role of an instance.
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

/// Whether an instance accepts new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Accepts new work.
    #[default]
    Live,
    /// Shutting down; accepts no new work.
    Leaving,
}

/// One entry of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// Name, unique within the list.
    pub name: SmolStr,
    /// Role.
    pub role: Role,
    /// Address for requests.
    pub addr: SocketAddr,
    /// Address for messages from peers; entry instances only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer: Option<SocketAddr>,
    /// Failure domain.
    pub domain: SmolStr,
    /// Region.
    pub region: SmolStr,
    /// Service that a target serves.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<SmolStr>,
    /// Version that a target runs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<SmolStr>,
    /// Whether it accepts new work.
    #[serde(default)]
    pub state: State,
}

/// The instance list; it may lag behind the actual state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceList {
    /// Revision of the list.
    pub rev: u64,
    /// The entries.
    pub items: Vec<InstanceEntry>,
}

impl InstanceList {
    /// Decodes a list, without the entries that can't be decoded, and returns the reasons for those.
    ///
    /// # Errors
    /// When the list as a whole has another format.
    pub fn read(body: &[u8]) -> Result<(Self, Vec<Unreadable>), String> {
        let text = |e: SplitError| e.to_string();
        let listing = Listing::split(body, "items").map_err(text)?;
        if let Some((_, cause)) = listing.unclosed {
            return Err(text(cause));
        }
        let rev = listing.field("rev");
        let rev = rev.ok_or(SplitError::Missing("rev")).map_err(text)?;
        let mut list = Self {
            rev: decode(rev)?,
            items: Vec::new(),
        };
        let mut unreadable = Vec::new();
        for item in listing.elements {
            match decode(item) {
                Ok(entry) => list.items.push(entry),
                Err(cause) => unreadable.push(Unreadable {
                    name: field(item, "name").and_then(|n| decode(n).ok()),
                    rev: None,
                    cause,
                }),
            }
        }
        Ok((list, unreadable))
    }
}
