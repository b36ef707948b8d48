//! Messages between instances: h2 streams of bincode over TCP, authentication and membership.

mod auth;
mod beats;
mod duty;
mod frame;
mod hub;
mod link;
mod member;
mod meter;
mod serve;
mod tiers;

pub use auth::PeerKey;
pub use duty::{CANDIDATES, SMALL_FLEET, on_duty, ranked};
pub use frame::{MAX_FRAME, PROTOCOL, Tag, decode, encode};
pub use hub::{CallError, Counts, Options, Peers};
pub use member::{Evidence, Gossip, Heartbeat, Layout, Member, Members, Reach};
