//! Moving averages of rates and hold times.

use std::time::{Duration, Instant};

/// Minimum and maximum averaging window of a rate, in seconds.
const WINDOW_S: (f64, f64) = (5.0, 60.0);

/// Weight of one measurement in the moving averages of hold times.
const HOLD_WEIGHT: f64 = 1.0 / 16.0;

/// Exponentially weighted average of an amount per second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Meter {
    rate: f64,
    at: Option<Instant>,
}

impl Meter {
    /// Adds `amount` to the rate, averaged over `window` seconds.
    pub(crate) fn add(&mut self, amount: f64, window: f64, now: Instant) {
        self.rate = self.rate(window, now) + amount / window;
        self.at = Some(now);
    }

    pub(crate) fn rate(&self, window: f64, now: Instant) -> f64 {
        let Some(at) = self.at else { return 0.0 };
        let age = now.saturating_duration_since(at).as_secs_f64();
        self.rate * (-age / window).exp()
    }
}

/// Throughput of a service in cost per second, by Little's law: the number of slots divided by the
/// time for which one unit of cost holds a slot. If all slots have been taken for two averaging
/// windows and less than half of that completes, the measured rate of completion is used.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Throughput {
    unit_hold: f64,
    request_hold: f64,
    measured: bool,
    completed: Meter,
    saturated_since: Option<Instant>,
}

impl Throughput {
    /// `unit_hold` is the time for which one unit of cost is assumed to hold a slot until it is
    /// measured.
    pub(crate) fn new(unit_hold: Duration) -> Self {
        Self {
            unit_hold: unit_hold.as_secs_f64(),
            request_hold: 0.0,
            measured: false,
            completed: Meter::default(),
            saturated_since: None,
        }
    }

    /// Records that a request of `cost` held a slot for `held`.
    pub(crate) fn record(&mut self, cost: f64, held: Duration, now: Instant) {
        self.unit_hold += (held.as_secs_f64() / cost - self.unit_hold) * HOLD_WEIGHT;
        self.request_hold += (held.as_secs_f64() - self.request_hold) * HOLD_WEIGHT;
        self.measured = true;
        self.completed.add(cost, self.window(), now);
    }

    /// Whether any request has completed yet.
    pub(crate) fn measured(&self) -> bool {
        self.measured
    }

    /// Sets whether all slots are taken from `now` on.
    pub(crate) fn set_saturated(&mut self, saturated: bool, now: Instant) {
        self.saturated_since = match self.saturated_since {
            _ if !saturated => None,
            None => Some(now),
            since => since,
        };
    }

    /// Seconds for which one unit of cost holds a slot.
    pub(crate) fn unit_hold(&self) -> f64 {
        self.unit_hold.max(1e-9)
    }

    /// Mean time in seconds for which one request holds a slot.
    pub(crate) fn request_hold(&self) -> f64 {
        self.request_hold
    }

    /// Averaging window of rates in seconds. It is longer for long requests, as fewer of them
    /// complete.
    pub(crate) fn window(&self) -> f64 {
        (self.request_hold / 2.0).clamp(WINDOW_S.0, WINDOW_S.1)
    }

    /// Throughput with `slots` slots, in cost per second.
    pub(crate) fn rate(&self, slots: f64, now: Instant) -> f64 {
        let nominal = slots / self.unit_hold();
        let sustained = self
            .saturated_since
            .is_some_and(|at| at + Duration::from_secs_f64(2.0 * self.window()) < now);
        match self.completed.rate(self.window(), now) {
            completed if sustained && completed < nominal / 2.0 => completed.max(nominal / 20.0),
            _ => nominal,
        }
    }
}
