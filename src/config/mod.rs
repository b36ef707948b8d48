//! The configuration in force: services, their versions and routes, moves and client accounts.
//!
//! Every request reads one snapshot of it.

mod feed;
mod model;
mod store;

pub use feed::{ConfigReport, Feed, Message, Reply};
pub use model::{Account, Fencing, Kind, Repeat, Revised, Route, Service, Version, View};
pub use store::{Entry, KINDS, ObjectRevision, Store, Summary};
