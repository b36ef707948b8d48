//! Calls of plain services: actions that run at most once, and calls that may be repeated.
//!
//! A non-repeatable action holds a claim, an object of the platform. See docs/design/actions.md.

mod call;
mod claim;
mod driver;
mod marks;
mod outcome;
mod pace;
mod recent;
mod record;
mod safe;
mod settle;
mod sweep;
mod verdict;

pub use call::{Call, Choose, Hook, Pick, Point, Report, Seek};
pub use claim::{Cause, Claim, Command, Event, Held, Now, Rules, Terms, Verdict};
pub use driver::Actions;
pub use marks::{MARKS, Marks, Watcher};
pub use outcome::{OUTCOME_LIMIT, Outcome};
pub use pace::Pace;
pub use record::{KIND, Record, Stage, claim_name};
pub use settle::Leftover;
pub use sweep::{Live, Retention, Sweep, Sweeper};
