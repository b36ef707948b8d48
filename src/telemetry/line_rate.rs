//! Limit of the rate at which lines of one kind are written.

use std::time::Instant;

use parking_lot::Mutex;

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    updated: Instant,
    suppressed: u64,
}

/// A token bucket of lines. Suppressed lines are counted, and the next line carries their number.
#[derive(Debug)]
pub(crate) struct LineRate {
    per_second: f64,
    burst: f64,
    bucket: Mutex<Bucket>,
}

impl LineRate {
    /// Allows `per_second` lines on average, and `burst` of them at once.
    pub(crate) fn new(per_second: f64, burst: f64) -> Self {
        let bucket = Bucket {
            tokens: burst,
            updated: Instant::now(),
            suppressed: 0,
        };
        Self {
            per_second,
            burst,
            bucket: Mutex::new(bucket),
        }
    }

    /// Takes a token. Returns the number of lines suppressed since the last written one, or `None`
    /// if this line is suppressed too.
    pub(crate) fn admit(&self) -> Option<u64> {
        let mut bucket = self.bucket.lock();
        let now = Instant::now();
        let refill = now.saturating_duration_since(bucket.updated).as_secs_f64() * self.per_second;
        bucket.updated = now;
        bucket.tokens = (bucket.tokens + refill).min(self.burst);
        if bucket.tokens < 1.0 {
            bucket.suppressed += 1;
            metrics::counter!("endivefork_log_lines_left_out_total").increment(1);
            return None;
        }
        bucket.tokens -= 1.0;
        Some(std::mem::take(&mut bucket.suppressed))
    }
}
