//! The signals of a process, and how late it handles those that stop it.

use std::time::{Duration, Instant};

use anyhow::Context as _;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{Interval, MissedTickBehavior, interval};

use super::drain::Drain;

/// Interval at which the runtime shows that it handles what has arrived.
const TURN_INTERVAL: Duration = Duration::from_millis(50);

/// Age of the turn before the last one from which a signal was handled late.
const LATE_AGE: Duration = TURN_INTERVAL.saturating_mul(3);

/// Receives SIGTERM, SIGINT and SIGHUP.
#[derive(Debug)]
pub(crate) struct Signals {
    term: Signal,
    int: Signal,
    hup: Signal,
    turns: Interval,
    last_turn: Instant,
    /// The turn before the last one. A signal that had arrived by then would have been handled by
    /// the last one.
    previous_turn: Instant,
}

impl Signals {
    /// Signals that arrive from now on are received.
    pub(crate) fn new() -> anyhow::Result<Self> {
        let mut turns = interval(TURN_INTERVAL);
        turns.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let now = Instant::now();
        Ok(Self {
            term: signal(SignalKind::terminate()).context("could not receive SIGTERM")?,
            int: signal(SignalKind::interrupt()).context("could not receive SIGINT")?,
            hup: signal(SignalKind::hangup()).context("could not receive SIGHUP")?,
            turns,
            last_turn: now,
            previous_turn: now,
        })
    }

    /// Begins the shutdown with the first SIGTERM or SIGINT and tells `begun` how late it was handled,
    /// at most. Calls `reload` for each SIGHUP. Never ends.
    pub(crate) async fn handle(
        mut self,
        drain: &Drain,
        begun: impl Fn(Duration),
        reload: impl Fn(),
    ) {
        loop {
            tokio::select! {
                biased;
                _ = self.term.recv() => self.begin(drain, &begun),
                _ = self.int.recv() => self.begin(drain, &begun),
                _ = self.hup.recv() => reload(),
                _ = self.turns.tick() => self.record_turn(),
            }
        }
    }

    fn record_turn(&mut self) {
        self.previous_turn = self.last_turn;
        self.last_turn = Instant::now();
    }

    fn begin(&self, drain: &Drain, begun: impl Fn(Duration)) {
        if drain.draining() {
            return;
        }
        let age = self.previous_turn.elapsed();
        let late = match age > LATE_AGE {
            true => age,
            false => Duration::ZERO,
        };
        drain.begin_late(late);
        begun(late);
    }
}
