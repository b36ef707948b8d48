//! An anytime-valid sequential test, which may be evaluated after every observation.
//!
//! The evidence against the new version is a mixture of likelihood ratios over several rates of
//! bad observations and over all times at which the rate may have risen. As long as the new
//! version's rate does not exceed the null rate, the mixture is a non-negative supermartingale
//! that starts at one, so it ever exceeds `1 / a` with a probability of at most `a` (Ville's
//! inequality).

/// Alternative rates, as fractions of the distance from the null rate to 1.
const ALTERNATIVES: [f64; 6] = [0.03, 0.1, 0.25, 0.5, 0.8, 0.97];

/// Prior weight of a rate that is raised from the first request on; the rest is spread evenly
/// over the move's duration.
const PRIOR_AT_START: f64 = 0.5;

/// Sequential test of one stream of good or bad observations.
#[derive(Clone, Debug)]
pub(crate) struct Detector {
    ln_ratios: [f64; ALTERNATIVES.len()],
    last_time: f64,
    ln_evidence: f64,
}

impl Detector {
    /// A test that starts at `time`, a fraction of the move's duration.
    pub(crate) fn new(time: f64) -> Self {
        Self {
            ln_ratios: [PRIOR_AT_START.ln(); ALTERNATIVES.len()],
            last_time: time,
            ln_evidence: PRIOR_AT_START.ln(),
        }
    }

    /// Adds `bad` out of `total` observations under a null rate. `bad` may be fractional: the
    /// likelihood ratio is convex in the bad fraction of an observation, so its mean stays below
    /// one. `time` is the elapsed fraction of the move's duration.
    pub(crate) fn update(&mut self, time: f64, total: u64, bad: f64, null: f64) {
        let weight = (1.0 - PRIOR_AT_START) * (time - self.last_time).clamp(0.0, 1.0);
        self.last_time = self.last_time.max(time);
        let good = total as f64 - bad;
        for (ln_ratio, fraction) in self.ln_ratios.iter_mut().zip(ALTERNATIVES) {
            let rate = null + (1.0 - null) * fraction;
            let step = bad * (rate / null).ln() + good * ((1.0 - rate) / (1.0 - null)).ln();
            *ln_ratio = ln_sum(*ln_ratio, weight.ln()) + step;
        }
        let sum = self.ln_ratios.into_iter().fold(f64::NEG_INFINITY, ln_sum);
        self.ln_evidence = sum - (ALTERNATIVES.len() as f64).ln();
    }

    /// Natural logarithm of the evidence.
    pub(crate) fn ln_evidence(&self) -> f64 {
        self.ln_evidence
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
