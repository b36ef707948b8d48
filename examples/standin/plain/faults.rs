//! Faults that tests switch on.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Faults in force. A `POST /control` changes the fields that it names.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Time before a call runs.
    pub delay_ms: u64,
    /// Time between a call's run and its answer.
    pub slow_ms: u64,
    /// So many actions run and their connection is closed without an answer.
    pub lose_answers: u32,
    /// So many actions are cut off before they run.
    pub lose_requests: u32,
    /// Calls answer 503 and do not run.
    pub refuse: bool,
    /// Share of calls that run and answer 500, from 0 to 1.
    pub error_rate: f64,
    /// Nothing is answered or run until this is switched off again.
    pub freeze: bool,
    /// Setting it makes every connection that is open at that moment silent for good.
    pub silent: bool,
    /// The load report says that the service leaves.
    pub leaving: bool,
    /// The status call knows nothing of any key.
    pub forget: bool,
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
}
