//! Messages between entry instances: bincode over HTTP/2 streams on TCP, with authentication by a
//! shared key and membership by heartbeats.
//!
//! Routing, admission, takeover and configuration use it to share state; client requests do not
//! pass through it.

mod auth;
mod election;
mod frame;
mod heartbeat;
mod hub;
mod link;
mod member;
mod meter;
mod serve;
mod tiers;

pub use auth::PeerKey;
pub use election::{CANDIDATES, SMALL_FLEET, elected, ranked};
pub use frame::{MAX_FRAME, PROTOCOL, Tag, decode, encode};
pub use hub::{CallError, Counts, Options, Peers};
pub use member::{Evidence, Gossip, Heartbeat, Layout, Member, Members, Reach};
