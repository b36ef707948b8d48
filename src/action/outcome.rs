//! The answer of a service, as it is kept for a repeat.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::http::Answer;
use crate::target::plain;

/// Most bytes of an answer's body that are kept.
pub const OUTCOME_LIMIT: usize = 128 << 10;

/// What a service answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "Wire", try_from = "Wire")]
pub struct Outcome {
    /// HTTP status code.
    pub status: u16,
    /// Content type; empty when the service named none.
    pub content: SmolStr,
    /// The whole body.
    pub body: Bytes,
}

impl Outcome {
    /// Content type of an outcome that a status call tells.
    const STATUS_CONTENT: &str = "application/json";

    /// An answer as it came.
    pub(crate) fn from_answer(answer: Answer) -> Self {
        Self {
            status: answer.status.as_u16(),
            content: plain::content_type(&answer.headers).into(),
            body: answer.body,
        }
    }

    /// What a status call tells of an action that ran.
    pub(crate) fn from_status(answer: &Answer) -> Option<Self> {
        let (status, body) = plain::ran(answer)?;
        Some(Self {
            status,
            content: Self::STATUS_CONTENT.into(),
            body,
        })
    }
}

/// JSON has no bytes: text stays readable, anything else is written in hex.
#[derive(Clone, Serialize, Deserialize)]
struct Wire {
    status: u16,
    content: SmolStr,
    #[serde(flatten)]
    body: WireBody,
}

#[derive(Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireBody {
    Text(String),
    Hex(String),
}

impl From<Outcome> for Wire {
    fn from(outcome: Outcome) -> Self {
        let body = match str::from_utf8(&outcome.body) {
            Ok(text) => WireBody::Text(text.to_owned()),
            Err(_) => WireBody::Hex(hex::encode(&outcome.body)),
        };
        Self {
            status: outcome.status,
            content: outcome.content,
            body,
        }
    }
}

impl TryFrom<Wire> for Outcome {
    type Error = hex::FromHexError;

    fn try_from(wire: Wire) -> Result<Self, Self::Error> {
        let body = match wire.body {
            WireBody::Text(text) => Bytes::from(text),
            WireBody::Hex(text) => Bytes::from(hex::decode(text)?),
        };
        Ok(Self {
            status: wire.status,
            content: wire.content,
            body,
        })
    }
}
