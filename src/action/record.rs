//! The stored form of a claim.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use smol_str::SmolStr;

use super::Outcome;

/// The platform's object kind of claims.
pub const CLAIM_KIND: &str = "claim";

/// Progress of the action of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum Stage {
    /// An attempt holds the claim and has not sent the action: another attempt may take it over.
    Claimed,
    /// The action may have been sent: no other attempt may ever send it.
    Sent,
    /// The action ran; repeats receive the stored outcome.
    Done {
        /// HTTP status code of the response.
        status: u16,
        /// The response; `None` if it was too large to store.
        outcome: Option<Outcome>,
    },
    /// The attempt gave up before it sent the action: another attempt may claim it.
    Released,
}

impl Stage {
    /// Returns the stage that stores `outcome`, or only its status if it is too large.
    #[must_use]
    pub fn done(outcome: &Outcome) -> Self {
        let fits = outcome.body.len() <= super::OUTCOME_LIMIT;
        Self::Done {
            status: outcome.status,
            outcome: fits.then(|| outcome.clone()),
        }
    }

    /// Size of the stored outcome's body in bytes.
    pub(crate) fn size(&self) -> usize {
        match self {
            Self::Done {
                outcome: Some(outcome),
                ..
            } => outcome.body.len(),
            _ => 0,
        }
    }
}

/// The value of a claim object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Digest of the request; a repeat must have the same one.
    pub digest: SmolStr,
    /// Service that runs the action.
    pub service: SmolStr,
    /// Instance that runs the attempt.
    pub owner: SmolStr,
    /// Unique identifier of the attempt.
    pub nonce: SmolStr,
    /// Wall-clock time of the last change in milliseconds since 1970.
    pub at_ms: u64,
    /// Path of the service's status call for this action, if the route declares one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub check: Option<SmolStr>,
    /// Progress of the action.
    #[serde(flatten)]
    pub stage: Stage,
}

impl Record {
    /// Returns this record at another stage.
    #[must_use]
    pub fn at(&self, stage: Stage, wall_ms: u64) -> Self {
        Self {
            stage,
            at_ms: wall_ms,
            ..self.clone()
        }
    }
}

/// Name of the claim object. It is a cryptographic digest, since callers choose their keys and must
/// not be able to craft one that collides with another account's claim.
#[must_use]
pub fn claim_name(service: &str, account: &str, key: &str) -> SmolStr {
    digest(&[service.as_bytes(), account.as_bytes(), key.as_bytes()])
}

/// Digest of several byte strings, each prefixed with its length.
pub(crate) fn digest(parts: &[&[u8]]) -> SmolStr {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hex::encode(hash.finalize()).into()
}
