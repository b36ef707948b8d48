//! The response of a service, in the form in which it is stored and replayed.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::http::Answer;
use crate::target::plain;

/// Maximum size of a response body that is stored, in bytes.
pub const OUTCOME_LIMIT: usize = 128 << 10;

/// The response of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "Wire", try_from = "Wire")]
pub struct Outcome {
    /// HTTP status code.
    pub status: u16,
    /// Content type; empty if the response had none.
    pub content: SmolStr,
    /// The complete body.
    pub body: Bytes,
}

impl Outcome {
    /// Content type of an outcome obtained by a status call.
    const STATUS_CONTENT: &str = "application/json";

    /// Converts a response.
    pub(crate) fn from_answer(answer: Answer) -> Self {
        Self {
            status: answer.status.as_u16(),
            content: plain::content_type(&answer.headers).into(),
            body: answer.body,
        }
    }

    /// Extracts the outcome from the response of a status call, if it reports that the action ran.
    pub(crate) fn from_status(answer: &Answer) -> Option<Self> {
        let (status, body) = plain::ran(answer)?;
        Some(Self {
            status,
            content: Self::STATUS_CONTENT.into(),
            body,
        })
    }
}

/// Stored form. JSON has no byte strings: UTF-8 text is stored as such, other bodies in hex.
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
