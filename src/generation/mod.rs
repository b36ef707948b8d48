//! Generations: attempts, token journal, resume, takeover.

mod attempt;
mod drive;
mod hooks;
mod journal;
mod pace;
mod run;
mod state;
mod suspect;
mod table;
mod takeover;
mod writer;

pub use hooks::{Admit, Choice, Hooks, Lease, Observation, Release, Target};
pub use journal::{Ack, Change, Entry, Journal, Journals, Place};
pub use pace::Pace;
pub use run::{Event, Reader, Start};
pub use state::{Command, Event as Happened, Generation, Loss, Outcome};
pub use suspect::{Crash, Suspects, Verdict};
pub use table::Generations;
