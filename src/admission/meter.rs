//! Rates measured over the last seconds.

use std::time::{Duration, Instant};

/// Shortest and longest time over which a rate is averaged, in seconds.
const WINDOW_S: (f64, f64) = (5.0, 60.0);

/// Weight of one measured hold time in the mean.
const HOLD_WEIGHT: f64 = 1.0 / 16.0;

/// Exponentially averaged rate of some amount a second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Meter {
    rate: f64,
    at: Option<Instant>,
}

impl Meter {
    /// Adds to a rate that is averaged over `window` seconds.
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

/// How fast a service works off cost, by Little's law: slots over the time that one unit of cost
/// holds a slot. When all slots are taken and less comes out than that, what comes out counts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Drain {
    hold: f64,
    request: f64,
    measured: bool,
    out: Meter,
    full_since: Option<Instant>,
}

impl Drain {
    /// `hold` is the time that one unit of cost holds a slot, until it is measured.
    pub(crate) fn new(hold: Duration) -> Self {
        Self {
            hold: hold.as_secs_f64(),
            request: 0.0,
            measured: false,
            out: Meter::default(),
            full_since: None,
        }
    }

    /// A request of `cost` held a slot for `held`.
    pub(crate) fn ended(&mut self, cost: f64, held: Duration, now: Instant) {
        self.hold += (held.as_secs_f64() / cost - self.hold) * HOLD_WEIGHT;
        self.request += (held.as_secs_f64() - self.request) * HOLD_WEIGHT;
        self.measured = true;
        self.out.add(cost, self.window(), now);
    }

    /// Whether anything has come out yet.
    pub(crate) fn measured(&self) -> bool {
        self.measured
    }

    /// Whether all slots are taken from `now` on.
    pub(crate) fn full(&mut self, full: bool, now: Instant) {
        self.full_since = match self.full_since {
            _ if !full => None,
            None => Some(now),
            since => since,
        };
    }

    /// Seconds that one unit of cost holds a slot.
    pub(crate) fn hold(&self) -> f64 {
        self.hold.max(1e-9)
    }

    /// Seconds that one request holds a slot.
    pub(crate) fn request(&self) -> f64 {
        self.request
    }

    /// Seconds over which rates are averaged: longer where requests are long and so fewer.
    pub(crate) fn window(&self) -> f64 {
        (self.request / 2.0).clamp(WINDOW_S.0, WINDOW_S.1)
    }

    /// Cost a second with `slots` slots.
    pub(crate) fn rate(&self, slots: f64, now: Instant) -> f64 {
        let little = slots / self.hold();
        let settled = self
            .full_since
            .is_some_and(|at| at + Duration::from_secs_f64(2.0 * self.window()) < now);
        match self.out.rate(self.window(), now) {
            out if settled && out < little / 2.0 => out.max(little / 20.0),
            _ => little,
        }
    }
}
