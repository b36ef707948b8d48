//! Calls of plain services: actions that run at most once, and calls that may be repeated.
//!
//! A non-repeatable action holds a claim, an object of the platform. See docs/design/actions.md.

mod actions;
mod attempt;
mod breaker;
mod call;
mod claim;
mod contend;
mod event;
mod flights;
mod marks;
mod outcome;
mod pace;
mod recent;
mod record;
mod safe;
mod settle;
mod sweep;
mod terms;
mod verdict;

pub use actions::Actions;
pub use breaker::Breaker;
pub use call::{Call, Choose, Hook, Pick, Point, Report, Seek};
pub use claim::Claim;
pub use event::{Cause, Command, Event, Verdict};
pub use marks::{MARKS, Marks, Watcher};
pub use outcome::{OUTCOME_LIMIT, Outcome};
pub use pace::Pace;
pub use record::{KIND, Record, Stage, claim_name};
pub use settle::Leftover;
pub use sweep::{Live, Retention, Sweep, Sweeper};
pub use terms::{Held, Now, Rules, Terms};
