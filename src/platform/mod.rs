//! Client of the platform's object API (conditional writes, paged lists, watches) and instance list.
//! Used for settings and stored state; it is not on the path of a client request.

mod calls;
mod client;
mod error;
mod model;
mod spelling;

pub use calls::{Calls, Counts};
pub use client::{Client, PAGE_LIMIT, VALUE_LIMIT};
pub use error::Error;
pub use model::{Changes, Event, Expect, InstanceEntry, InstanceList, List, Object, Role, State};
pub use spelling::{Page, PageRequest, Spelling};
