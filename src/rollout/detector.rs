//! A sequential test that may be looked at after every observation.
//!
//! The evidence against the new version is a mixture of likelihood ratios over several rates of
//! badness and over all times at which the badness may have begun. As long as the new version is
//! no worse than the null rate, the mixture is a non-negative supermartingale that starts at one,
//! so it ever exceeds `1 / a` with a probability of at most `a` (Ville's inequality).

/// Alternatives, as fractions of the way from the null rate to 1.
const ALTERNATIVES: [f64; 6] = [0.03, 0.1, 0.25, 0.5, 0.8, 0.97];

/// Prior weight of badness from the first request on; the rest is spread over the move's time.
const AT_ONCE: f64 = 0.5;

/// Evidence of one stream of yes-or-no observations.
#[derive(Clone, Debug)]
pub(crate) struct Detector {
    ln: [f64; ALTERNATIVES.len()],
    last: f64,
    evidence: f64,
}

impl Detector {
    /// A test that begins at `time`, a fraction of the move's whole time.
    pub(crate) fn new(time: f64) -> Self {
        Self {
            ln: [AT_ONCE.ln(); ALTERNATIVES.len()],
            last: time,
            evidence: AT_ONCE.ln(),
        }
    }

    /// Adds `bad` out of `all` observations under a null rate. An observation may be bad in part;
    /// the likelihood ratio is convex in that part, so its mean stays below one. `time` is the
    /// fraction of the move's whole time that has passed.
    pub(crate) fn update(&mut self, time: f64, all: u64, bad: f64, null: f64) {
        let weight = (1.0 - AT_ONCE) * (time - self.last).clamp(0.0, 1.0);
        self.last = self.last.max(time);
        let good = all as f64 - bad;
        for (ln, part) in self.ln.iter_mut().zip(ALTERNATIVES) {
            let rate = null + (1.0 - null) * part;
            let ratio = bad * (rate / null).ln() + good * ((1.0 - rate) / (1.0 - null)).ln();
            *ln = ln_sum(*ln, weight.ln()) + ratio;
        }
        let sum = self.ln.into_iter().fold(f64::NEG_INFINITY, ln_sum);
        self.evidence = sum - (ALTERNATIVES.len() as f64).ln();
    }

    /// Natural logarithm of the evidence.
    pub(crate) fn ln_evidence(&self) -> f64 {
        self.evidence
    }
}

/// `ln(exp(a) + exp(b))`.
fn ln_sum(a: f64, b: f64) -> f64 {
    let (low, high) = if a < b { (a, b) } else { (b, a) };
    if high == f64::NEG_INFINITY {
        return high;
    }
    high + (low - high).exp().ln_1p()
}
