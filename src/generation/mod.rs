//! Text generations that survive the loss of a target or of an entry instance.
//!
//! A request for text becomes a generation once it is admitted. Its driver starts attempts on
//! engines, journals the tokens at peers before it publishes them, and resumes on another target
//! when one is lost. When a caller reconnects at another instance, that instance takes the
//! generation over. Sized for some hundreds of streams per instance, each with a token about every
//! 41 ms.

mod attempt;
mod drive;
mod gap_estimator;
mod hooks;
mod journal;
mod replicator;
mod run;
mod state;
mod table;
mod takeover;

pub use gap_estimator::GapEstimator;
pub use hooks::{Admit, Hooks, Lease, Observation, Release, Target, TargetQuery};
pub use journal::{Ack, AttemptLocation, Change, Entry, Journal, Journals};
pub use run::{Event, GenerationRequest, Reader};
pub use state::{Command, Generation, Input, Loss, Outcome};
pub use table::Generations;
