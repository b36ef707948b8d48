//! Client of the platform's object API and instance list.

mod calls;
mod client;
mod error;
mod model;
mod spelling;

pub use calls::{Calls, Counts};
pub use client::{Client, PAGE_LIMIT, VALUE_LIMIT};
pub use error::Error;
pub use model::{Changes, Event, Expect, InstanceEntry, InstanceList, List, Object, Role, State};
pub use spelling::{Page, Part, Spelling};
