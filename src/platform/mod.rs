//! Client of the platform's object API (conditional writes, paged lists, watches) and instance list.
//! Used for settings and stored state; it is not on the path of a client request.

mod api_format;
mod calls;
mod client;
mod entries;
mod era;
mod error;
mod model;
mod watch;

pub use api_format::{ApiFormat, Page, PageRequest};
pub use calls::{Calls, Counts};
pub use client::{Client, PAGE_LIMIT, VALUE_LIMIT};
pub use entries::{EntryFormat, Unreadable};
pub use era::StatedEra;
pub(crate) use era::is_restored;
pub use error::Error;
pub use model::{Changes, Event, Expect, InstanceEntry, InstanceList, List, Object, Role, State};
pub(crate) use watch::{CatchUp, Watched};
