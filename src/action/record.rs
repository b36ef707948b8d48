//! The stored form of a claim.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use smol_str::SmolStr;

use super::Outcome;

/// The platform's object kind of claims.
pub const KIND: &str = "claim";

/// How far the action of a claim has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum Stage {
    /// A try holds the claim and has sent nothing: another may take it over.
    Claimed,
    /// The action may have been sent: nobody else may send it, ever.
    Sent,
    /// It ran; its outcome is replayed to repeats.
    Done {
        /// HTTP status code of the answer.
        status: u16,
        /// The answer; none when it was too large to be kept.
        outcome: Option<Outcome>,
    },
    /// The try gave up before it sent anything: another may claim it.
    Released,
}

impl Stage {
    /// The stage that keeps `outcome`, or only its status when it is too large.
    #[must_use]
    pub fn done(outcome: &Outcome) -> Self {
        let fits = outcome.body.len() <= super::OUTCOME_LIMIT;
        Self::Done {
            status: outcome.status,
            outcome: fits.then(|| outcome.clone()),
        }
    }

    /// Bytes of the outcome that it holds.
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
    /// Digest of the request: a repeat must be the same request.
    pub digest: SmolStr,
    /// Service that the action belongs to.
    pub service: SmolStr,
    /// Instance whose try this is.
    pub owner: SmolStr,
    /// Names this try among all tries.
    pub nonce: SmolStr,
    /// Wall-clock time of the last change in milliseconds since 1970.
    pub at_ms: u64,
    /// Path of the service's status call for this action, if the route declares one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub check: Option<SmolStr>,
    /// How far it has come.
    #[serde(flatten)]
    pub stage: Stage,
}

impl Record {
    /// This record at another stage.
    #[must_use]
    pub fn at(&self, stage: Stage, wall_ms: u64) -> Self {
        Self {
            stage,
            at_ms: wall_ms,
            ..self.clone()
        }
    }
}

/// Name of the claim object. A cryptographic digest, since callers choose their keys and no key
/// may be made to meet another account's claim.
#[must_use]
pub fn claim_name(service: &str, account: &str, key: &str) -> SmolStr {
    digest(&[service.as_bytes(), account.as_bytes(), key.as_bytes()])
}

/// Digest of several byte strings, each with its length.
pub(crate) fn digest(parts: &[&[u8]]) -> SmolStr {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    hex::encode(hash.finalize()).into()
}
