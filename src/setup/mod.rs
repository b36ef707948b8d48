//! First configuration: the questionnaire, the files that it generates, and the services file.

mod answers;
mod ask;
mod fields;
mod generate;
mod plan;
mod render;

pub use answers::{Answers, Place, Risk, Tolerance, Workload};
pub(crate) use ask::ask;
pub use generate::{File, generate};
pub use plan::{MoveDefaults, Plan};
