//! Moves of traffic between versions: evidence and verdicts.

mod book;
mod detector;
mod evidence;
mod histogram;
mod model;
mod reference;
mod schedule;
mod trial;

pub use book::{Book, Wish};
pub use evidence::{Band, Cell, CellKey, Sample, Side, Snapshot};
pub use histogram::Histogram;
pub use model::{Move, Phase, SHARES};
pub use trial::{Proposal, Surroundings, Trial};
