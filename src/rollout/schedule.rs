//! When a move may take its next step.

use super::model::{Move, Phase, SHARES};

/// Fractions of the move's time at which each step is planned.
const PLANNED: [f64; 7] = [0.0, 0.15, 0.25, 0.35, 0.44, 0.53, 0.62];

/// Fractions of the move's time at which each step is taken even on little evidence.
const LATEST: [f64; 7] = [0.0, 0.45, 0.53, 0.60, 0.67, 0.74, 0.81];

/// Fraction at which the watching is planned to end.
const DONE_PLANNED: f64 = 0.80;

/// Fraction at which the watching ends even on little evidence.
const DONE_LATEST: f64 = 0.94;

/// Shortest stay at a step, as a fraction of the move's time.
const STAY: f64 = 0.02;

/// Shortest time of watching, as a fraction of the move's time.
const WATCH: f64 = 0.05;

/// Longest that a short stay is, in milliseconds.
const STAY_LIMIT_MS: f64 = 60_000.0;

/// Shortest stay at a step when time runs out, in milliseconds.
const STAY_FLOOR_MS: f64 = 5_000.0;

/// Requests that the new version must have ended at a step, unless time runs out.
const ENOUGH: u64 = 100;

/// What the next change of a move would be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Next {
    /// Another share.
    Step(u32),
    /// Watch at the largest share.
    Watch,
    /// All requests go to the new version.
    Done,
}

/// The change that follows the move's present state; `None` when it has ended.
pub(crate) fn next(m: &Move) -> Option<Next> {
    let last = SHARES.len() as u32 - 1;
    let top = |step: u32| step >= last || SHARES[step as usize] >= m.max_share;
    match m.phase {
        Phase::Done | Phase::Withdrawn => None,
        Phase::Watching => Some(Next::Done),
        Phase::Advancing if top(m.step) => Some(Next::Watch),
        Phase::Advancing => Some(Next::Step(m.step + 1)),
    }
}

/// Fraction of the move's time that has passed at `wall`; more than 1 when it is late.
pub(crate) fn passed(m: &Move, wall: u64) -> f64 {
    let whole = m.finish_by.saturating_sub(m.start).max(1);
    wall.saturating_sub(m.start) as f64 / whole as f64
}

/// Whether `next` is due `stayed_ms` after the last change, with `ended` requests that the new
/// version has ended since.
pub(crate) fn is_due(m: &Move, next: Next, passed: f64, stayed_ms: f64, ended: u64) -> bool {
    let whole = m.finish_by.saturating_sub(m.start) as f64;
    let left = (1.0 - passed).max(0.0) * whole;
    let steps_left = (SHARES.len() as u32).saturating_sub(m.step) as f64 + 2.0;
    let (share, planned, latest) = match next {
        Next::Step(step) => (STAY, PLANNED[step as usize], LATEST[step as usize]),
        Next::Watch => (0.0, 0.0, 0.0),
        Next::Done => (WATCH, DONE_PLANNED, DONE_LATEST),
    };
    let stay = (share * whole).min(if next == Next::Done {
        whole
    } else {
        STAY_LIMIT_MS
    });
    let hurried = (left / steps_left).max(STAY_FLOOR_MS);
    let stayed = stayed_ms >= stay.min(hurried);
    stayed && (passed >= latest || passed >= planned && ended >= ENOUGH)
}
