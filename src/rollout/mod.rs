//! Moves of traffic between versions: evidence and verdicts.

mod model;

pub use model::{Move, Phase, SHARES};
