//! Gradual moves of a service's traffic from one version to another (canary rollouts).
//!
//! A request is assigned to a version when it is routed, and its outcome is counted for that
//! version and exchanged between the instances. Outside the request path, every instance
//! periodically compares the new version with the old one and proposes the next step of the move
//! or its rollback.

mod baseline;
mod detector;
mod evaluator;
mod evidence;
mod histogram;
mod model;
mod registry;
mod schedule;

pub use evaluator::{ClusterState, Evaluator, Proposal};
pub use evidence::{Band, Cell, CellKey, Sample, Side, Snapshot};
pub use histogram::Histogram;
pub use model::{Move, Phase, SHARES};
pub use registry::{MoveRegistry, ProposedWrite};
