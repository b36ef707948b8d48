//! The clock of a shutdown, and what may still begin during it.

use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

use super::open::OpenRequests;

/// Minimum time that the listener stays open after the instance reports that it is not ready, so
/// that the load balancer notices first.
pub(super) const MIN_LINGER: Duration = Duration::from_secs(3);

/// Time without a new connection or request after which the listener may close.
pub(super) const QUIET_PERIOD: Duration = Duration::from_secs(1);

/// Time before the end of the process at which a request without an answer gets its final one: the
/// network delay to the caller.
const FINAL_ANSWER_MARGIN: Duration = Duration::from_millis(150);

/// The longest time by which a late signal shortens a shutdown, as a part of it. Callers accept the
/// cut of a stream only late in the grace period.
const MAX_LATENESS: f64 = 1.0 / 9.0;

/// When a shutdown began.
#[derive(Clone, Copy, Debug)]
struct Beginning {
    /// When the signal was handled.
    handled: Instant,
    /// When it was sent at the earliest.
    sent: Instant,
}

/// The state of a shutdown, shared by the server, its handlers and the readiness check.
#[derive(Debug)]
pub struct Drain {
    /// Time from the beginning of the shutdown to the end of the process, at most.
    longest: Duration,
    draining: AtomicBool,
    signal: CancellationToken,
    begun: OnceLock<Beginning>,
    requests: Arc<OpenRequests>,
    last_arrival: Mutex<Option<Instant>>,
}

impl Drain {
    /// Creates the state of a process that ends no later than `longest` after its shutdown began.
    #[must_use]
    pub fn new(longest: Duration) -> Self {
        Self {
            longest,
            draining: AtomicBool::default(),
            signal: CancellationToken::new(),
            begun: OnceLock::default(),
            requests: Arc::default(),
            last_arrival: Mutex::default(),
        }
    }

    /// Whether the instance is shutting down.
    #[must_use]
    pub fn draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Starts the shutdown.
    pub fn begin(&self) {
        self.begin_late(Duration::ZERO);
    }

    /// Starts the shutdown with a signal that was sent up to `late` ago.
    pub(crate) fn begin_late(&self, late: Duration) {
        let handled = Instant::now();
        let late = late.min(self.longest.mul_f64(MAX_LATENESS));
        let sent = handled.checked_sub(late).unwrap_or(handled);
        self.begun.get_or_init(|| Beginning { handled, sent });
        self.draining.store(true, Ordering::Release);
        self.signal.cancel();
    }

    /// Time since the signal was handled, if the shutdown has begun.
    #[must_use]
    pub fn since(&self) -> Option<Duration> {
        self.begun.get().map(|begun| begun.handled.elapsed())
    }

    /// Longest time since the signal was sent, if the shutdown has begun.
    pub(crate) fn age(&self) -> Option<Duration> {
        self.begun.get().map(|begun| begun.sent.elapsed())
    }

    /// Time until the process ends at the latest, if the shutdown has begun.
    #[must_use]
    pub fn left(&self) -> Option<Duration> {
        Some(self.longest.saturating_sub(self.age()?))
    }

    /// Time until the process ends at the earliest.
    pub(crate) fn least_left(&self) -> Duration {
        MIN_LINGER.saturating_sub(self.since().unwrap_or_default())
    }

    /// Whether a request that takes `time` ends before the process does, and before requests
    /// without an answer get their final one.
    pub(crate) fn has_time_for(&self, time: Duration) -> bool {
        let left = self.left();
        left.is_none_or(|left| time + FINAL_ANSWER_MARGIN <= left)
    }

    /// Time at which requests without an answer get their final one, if the shutdown has begun.
    pub(crate) fn expires(&self) -> Option<Instant> {
        let longest = self.longest.saturating_sub(FINAL_ANSWER_MARGIN);
        Some(self.begun.get()?.sent + longest)
    }

    /// Waits until requests without an answer are to get their final one.
    pub(crate) async fn expiring(&self) {
        self.short_of(Duration::ZERO).await;
    }

    /// Waits until a request that takes `time` would no longer end in time.
    pub(crate) async fn short_of(&self, time: Duration) {
        self.begun().await;
        // A sleep is pending at its first poll, however short.
        if self.has_time_for(time) {
            let left = self.left().unwrap_or_default();
            tokio::time::sleep(left.saturating_sub(time + FINAL_ANSWER_MARGIN)).await;
        }
    }

    /// Whether idle connections stay open: until [`MIN_LINGER`] after the shutdown began.
    pub(super) fn lingers(&self) -> bool {
        self.since().is_none_or(|since| since < MIN_LINGER)
    }

    /// Waits until the shutdown begins.
    pub async fn begun(&self) {
        self.signal.cancelled().await;
    }

    /// The requests that are not completely answered yet.
    pub(crate) fn requests(&self) -> &Arc<OpenRequests> {
        &self.requests
    }

    /// Number of requests that are not completely answered yet.
    #[must_use]
    pub fn running(&self) -> usize {
        self.requests.len()
    }

    /// Notes that a request or a connection has arrived: callers still use this instance.
    pub(crate) fn record_arrival(&self) {
        if self.draining() {
            *self.last_arrival.lock() = Some(Instant::now());
        }
    }

    pub(super) fn is_quiet(&self, since: Instant) -> bool {
        let last_arrival = self.last_arrival.lock().unwrap_or(since);
        self.running() == 0 && last_arrival.elapsed() >= QUIET_PERIOD
    }
}
