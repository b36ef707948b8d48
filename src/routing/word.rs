//! What instances tell each other about targets.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// In-flight requests of one instance at one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Name of the target.
    pub target: SmolStr,
    /// Requests in flight.
    pub count: u32,
    /// Prompt tokens that they have still to read.
    pub prompt: u32,
    /// Tokens of memory that they use or will use.
    pub memory: u32,
}

/// One instance's word about targets. It replaces the earlier word of the same instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Word {
    /// Targets at which the instance has requests in flight.
    pub counts: Vec<Count>,
    /// Targets that the instance itself found dead.
    pub dead: Vec<SmolStr>,
    /// Targets that told the instance that they are leaving.
    pub leaving: Vec<SmolStr>,
}
