//! Targets that do not answer a call of a generation.

use std::time::Duration;

use tokio::time::Instant;

use super::Driver;
use crate::generation::attempt::Call;

/// Silence from which a target is given up although no other attempt is secured.
const LONGEST_SILENCE: Duration = Duration::from_secs(8);

impl Driver {
    /// Gives up a target that does not answer a call. It may be sound, so a generation without tokens,
    /// which could fail for it, waits on unless another attempt is secured.
    pub(super) fn handle_silence(&mut self) {
        let is_long = |c: &Call| c.since.elapsed() >= LONGEST_SILENCE;
        let can_leave = self.state.next() > 0
            || self.call.as_ref().is_some_and(is_long)
            || self.secure_successor();
        match &mut self.call {
            Some(call) if can_leave => {
                let silence = call.silence();
                self.handle_answer(silence);
            }
            Some(call) => call.extend(),
            None => {}
        }
    }

    /// Chooses another target and takes a retry for it.
    fn secure_successor(&mut self) -> bool {
        let silent = self.attempt.as_ref().map(|a| a.target.name.clone());
        let known = self.excluded.len();
        self.excluded.extend(silent);
        let lease = self.choose().ok();
        self.excluded.truncate(known);
        self.successor = lease.filter(|_| (self.shared.hooks.retry)(&self.run.request));
        self.successor.is_some()
    }

    /// Time left until the request's deadline.
    pub(super) fn left(&self) -> Duration {
        let deadline = self.run.request.deadline;
        deadline.saturating_duration_since(Instant::now())
    }
}
