//! The settings of one instance, read from an INI file.

mod finding;
mod ini;
mod key;
mod parse;
pub(crate) mod value;

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use smol_str::SmolStr;

pub use finding::{Finding, Findings};
pub(crate) use ini::{Document, Section};
pub use key::{KEYS, Key};

/// A text that is never shown.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(pub SmolStr);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(…)")
    }
}

/// How log records are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Lines for a person.
    Human,
    /// One JSON object a line.
    Json,
}

/// `[instance]`: who this instance is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Name, unique in the fleet.
    pub name: SmolStr,
    /// Failure domain.
    pub domain: SmolStr,
    /// Region.
    pub region: SmolStr,
}

/// `[listen]`: the addresses it listens on.
#[derive(Clone, Copy, Debug)]
pub struct Listen {
    /// For callers.
    pub caller: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
    /// For other instances.
    pub peer: SocketAddr,
}

/// `[platform]`: the object API.
#[derive(Clone, Copy, Debug)]
pub struct Platform {
    /// Its address.
    pub addr: SocketAddr,
    /// Longest wait for an answer.
    pub timeout: Duration,
    /// Time between readings of the instance list.
    pub poll: Duration,
}

/// `[peers]`: other instances.
#[derive(Clone, Debug)]
pub struct Peers {
    /// Key shared by all instances.
    pub key: Secret,
    /// Time between heartbeats.
    pub heartbeat: Duration,
    /// Peer addresses to try before the platform's list is known.
    pub seeds: Vec<SocketAddr>,
    /// Address under which other instances reach this one; `None`: its listener's.
    pub advertise: Option<SocketAddr>,
}

/// `[limits]`: bounds on what callers may send.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Bytes of all headers of a request.
    pub headers: usize,
    /// Bytes of a request's body.
    pub body: usize,
    /// Time a caller may take to send a whole request.
    pub receive: Duration,
    /// Idle time after which a connection is closed.
    pub idle: Duration,
    /// Open caller connections.
    pub connections: usize,
}

/// `[log]`.
#[derive(Clone, Copy, Debug)]
pub struct Log {
    /// Format of a record.
    pub format: LogFormat,
    /// Least severe level written.
    pub level: slog::Level,
}

/// All settings of one instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// `[instance]`.
    pub instance: Identity,
    /// `[listen]`.
    pub listen: Listen,
    /// `[platform]`.
    pub platform: Platform,
    /// `[peers]`.
    pub peers: Peers,
    /// `[operators]`: hex SHA-256 of each operator's key, by name.
    pub operators: IndexMap<SmolStr, SmolStr>,
    /// `[limits]`.
    pub limits: Limits,
    /// `[log]`.
    pub log: Log,
    /// `[drain] timeout`: longest wait for running requests at a graceful stop.
    pub drain: Duration,
}
