//! Faults that tests switch on, rates, and counts of calls.

use std::collections::BTreeMap;
use std::time::Instant;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Span over which a rate's unused calls are saved up, in seconds.
const BURST_SECS: f64 = 0.1;

/// How the platform is down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// It is up.
    #[default]
    None,
    /// Every call answers 503.
    Refuse,
    /// Every connection is closed without an answer.
    Drop,
}

/// Faults in force. A `POST /control` changes the fields that it names.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// How it is down.
    pub outage: Outage,
    /// Delay of every answer.
    pub delay_ms: u64,
    /// So many writes take effect and their connection is closed without an answer.
    pub lose_answers: u32,
    /// Only writes of this kind lose their answer.
    pub lose_kind: Option<String>,
    /// So many writes take effect only after `late_ms`, and are never answered.
    pub late_writes: u32,
    /// When a late write takes effect.
    pub late_ms: u64,
    /// Only writes of this kind are late.
    pub late_kind: Option<String>,
    /// Writes pass before `lose_answers` and `late_writes` begin to count.
    pub skip_writes: u32,
    /// Reads and lists show the objects as they were so long ago.
    pub stale_ms: u64,
    /// The instance list shows the entries as they were so long ago.
    pub lag_ms: u64,
    /// Setting it makes every connection that is open at that moment silent for good.
    pub silent: bool,
    /// Writes a second; 0 is unlimited.
    pub write_rate: u32,
    /// Reads, lists and watches a second; 0 is unlimited.
    pub read_rate: u32,
}

/// What happens to one write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It takes effect and is answered.
    Plain,
    /// It takes effect and its answer is lost.
    Lost,
    /// It takes effect after that many milliseconds and is not answered.
    Late(u64),
}

impl Faults {
    /// Applies the fields that `change` names.
    pub fn merge(&mut self, change: Value) -> Result<(), String> {
        let mut all = serde_json::to_value(&*self).map_err(|e| e.to_string())?;
        let Value::Object(change) = change else {
            return Err("the body is not an object".into());
        };
        for (name, value) in change {
            all[name] = value;
        }
        *self = serde_json::from_value(all).map_err(|e| e.to_string())?;
        Ok(())
    }

    /// Decides the fate of a write of that kind and uses up one count.
    pub fn fate(&mut self, kind: &str) -> Fate {
        let hits = |only: &Option<String>| only.as_deref().is_none_or(|k| k == kind);
        let lose = self.lose_answers > 0 && hits(&self.lose_kind);
        let late = self.late_writes > 0 && hits(&self.late_kind);
        match () {
            () if (lose || late) && self.skip_writes > 0 => {
                self.skip_writes -= 1;
                Fate::Plain
            }
            () if lose => {
                self.lose_answers -= 1;
                Fate::Lost
            }
            () if late => {
                self.late_writes -= 1;
                Fate::Late(self.late_ms)
            }
            () => Fate::Plain,
        }
    }
}

/// Calls so far.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counts {
    /// Objects read.
    pub reads: u64,
    /// Writes, with those that a condition refused.
    pub writes: u64,
    /// Deletions.
    pub deletes: u64,
    /// Pages of lists.
    pub lists: u64,
    /// Watches; one that waits counts once.
    pub watches: u64,
    /// Readings of the instance list.
    pub instances: u64,
    /// Calls refused for rate.
    pub throttled: u64,
    /// Calls refused or dropped in an outage.
    pub refused: u64,
    /// All calls by object kind.
    pub kinds: BTreeMap<String, u64>,
}

/// A token bucket.
#[derive(Debug)]
pub struct Bucket {
    tokens: f64,
    at: Instant,
}

impl Bucket {
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: 1.0,
            at: now,
        }
    }

    /// Takes one call if the rate allows it.
    pub fn take(&mut self, rate: u32, now: Instant) -> bool {
        let rate = f64::from(rate);
        let most = (rate * BURST_SECS).max(1.0);
        let gained = now.duration_since(self.at).as_secs_f64() * rate;
        self.tokens = (self.tokens + gained).min(most);
        self.at = now;
        match () {
            () if rate == 0.0 => true,
            () if self.tokens < 1.0 => false,
            () => {
                self.tokens -= 1.0;
                true
            }
        }
    }
}
