//! Schedule of a move: which transition is next and when it is due.

use super::model::{Move, Phase, SHARES};

/// Fractions of the move's duration at which each step is due if the new version has completed
/// enough requests.
const PLANNED_AT: [f64; 7] = [0.0, 0.15, 0.25, 0.35, 0.44, 0.53, 0.62];

/// Fractions of the move's duration at which each step is due even on little evidence.
const LATEST_AT: [f64; 7] = [0.0, 0.45, 0.53, 0.60, 0.67, 0.74, 0.81];

/// Fraction of the move's duration at which watching ends if the new version has completed enough
/// requests.
const DONE_PLANNED_AT: f64 = 0.80;

/// Fraction of the move's duration at which watching ends even on little evidence.
const DONE_LATEST_AT: f64 = 0.94;

/// Shortest time at a step, as a fraction of the move's duration.
const MIN_STEP_FRACTION: f64 = 0.02;

/// Shortest time of watching, as a fraction of the move's duration.
const MIN_WATCH_FRACTION: f64 = 0.05;

/// Upper limit of the shortest time at a step.
const MIN_STEP_LIMIT_MS: f64 = 60_000.0;

/// Lower limit of the shortest time at a step or of watching, which shrinks to an equal share of
/// the time left as the deadline approaches.
const MIN_STEP_FLOOR_MS: f64 = 5_000.0;

/// Requests that the new version must have completed at a step, unless the latest time for the
/// transition has passed.
const MIN_REQUESTS: u64 = 100;

/// A change of a move's phase or step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Transition {
    /// Go to this step, with its larger share.
    Step(u32),
    /// Start watching at the largest share.
    Watch,
    /// Finish: send all requests to the new version.
    Done,
}

/// The transition that follows the move's current state; `None` once the move has ended.
pub(crate) fn next(m: &Move) -> Option<Transition> {
    let last = SHARES.len() as u32 - 1;
    let is_largest = |step: u32| step >= last || SHARES[step as usize] >= m.max_share;
    match m.phase {
        Phase::Done | Phase::Withdrawn => None,
        Phase::Watching => Some(Transition::Done),
        Phase::Advancing if is_largest(m.step) => Some(Transition::Watch),
        Phase::Advancing => Some(Transition::Step(m.step + 1)),
    }
}

/// Fraction of the move's duration that has elapsed at `wall_ms`; more than 1 after the deadline.
pub(crate) fn elapsed_fraction(m: &Move, wall_ms: u64) -> f64 {
    let duration_ms = m.finish_by.saturating_sub(m.start).max(1);
    wall_ms.saturating_sub(m.start) as f64 / duration_ms as f64
}

/// Whether `next` is due `since_ms` after the last transition; `completed` counts the requests that
/// the new version has completed since then.
pub(crate) fn is_due(
    m: &Move,
    next: Transition,
    elapsed: f64,
    since_ms: f64,
    completed: u64,
) -> bool {
    let duration_ms = m.finish_by.saturating_sub(m.start) as f64;
    let left_ms = (1.0 - elapsed).max(0.0) * duration_ms;
    let steps_left = (SHARES.len() as u32).saturating_sub(m.step) as f64 + 2.0;
    let (shortest, planned, latest) = match next {
        Transition::Step(step) => (
            MIN_STEP_FRACTION,
            PLANNED_AT[step as usize],
            LATEST_AT[step as usize],
        ),
        Transition::Watch => (0.0, 0.0, 0.0),
        Transition::Done => (MIN_WATCH_FRACTION, DONE_PLANNED_AT, DONE_LATEST_AT),
    };
    let min_ms = (shortest * duration_ms).min(if next == Transition::Done {
        duration_ms
    } else {
        MIN_STEP_LIMIT_MS
    });
    let per_step_ms = (left_ms / steps_left).max(MIN_STEP_FLOOR_MS);
    let waited = since_ms >= min_ms.min(per_step_ms);
    waited && (elapsed >= latest || elapsed >= planned && completed >= MIN_REQUESTS)
}
