//! Generations: attempts, token journal, resume, takeover.

mod drive;
mod hooks;
mod pace;
mod run;
mod state;
mod table;

pub use hooks::{Choice, Hooks, Lease, Observation, Target};
pub use pace::Pace;
pub use run::{Event, Reader, Start};
pub use state::{Command, Event as Happened, Generation, Loss, Outcome};
pub use table::Generations;
