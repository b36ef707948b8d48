//! How long the streams of each service last, learned from those that ended.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use smol_str::SmolStr;

/// Streams of a service that are remembered.
const REMEMBERED: usize = 64;

/// Streams from which a duration is expected at least.
const LEAST: usize = 8;

/// Share of the remembered streams that lasted no longer than the expected duration.
const QUANTILE: f64 = 0.95;

/// A stream that ended.
#[derive(Clone, Copy, Debug)]
struct Ended {
    /// Tokens that its caller asked for at most.
    tokens: u32,
    time: Duration,
}

/// Durations of streams that ended, by service.
#[derive(Debug, Default)]
pub(crate) struct StreamDurations {
    services: Mutex<IndexMap<SmolStr, VecDeque<Ended>>>,
}

impl StreamDurations {
    /// Records a complete stream of at most `tokens`.
    pub(crate) fn record(&self, service: &SmolStr, tokens: u32, time: Duration) {
        let mut services = self.services.lock();
        let ended = services.entry(service.clone()).or_default();
        if ended.len() == REMEMBERED {
            ended.pop_front();
        }
        ended.push_back(Ended { tokens, time });
    }

    /// The time in which nearly all streams of at most `tokens` end; `None` while too few are known.
    /// A larger stream takes longer in proportion, a smaller one may take as long as any.
    pub(crate) fn expected(&self, service: &str, tokens: u32) -> Option<Duration> {
        let services = self.services.lock();
        let ended = services.get(service).filter(|e| e.len() >= LEAST)?;
        let scaled = ended.iter().map(|e| {
            let ratio = f64::from(tokens.max(1)) / f64::from(e.tokens.max(1));
            e.time.mul_f64(ratio.max(1.0))
        });
        let mut times: Vec<_> = scaled.collect();
        times.sort_unstable();
        let place = (times.len() as f64 * QUANTILE).ceil() as usize;
        times.get(place.saturating_sub(1)).copied()
    }
}
