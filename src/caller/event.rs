//! Server-sent events and JSON bodies of a generation, in the format that client libraries expect.

use std::fmt::Write as _;

use smol_str::SmolStr;

use crate::failure::Failure;
use crate::target::engine::Reason;

/// The completion API that a request uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Api {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

impl Api {
    fn object(self, stream: bool) -> &'static str {
        match (self, stream) {
            (Self::Text, _) => "text_completion",
            (Self::Chat, true) => "chat.completion.chunk",
            (Self::Chat, false) => "chat.completion",
        }
    }
}

/// Writes the events of one generation. The common prefix of all events is encoded once.
#[derive(Debug)]
pub(crate) struct Writer {
    api: Api,
    prefix: String,
}

impl Writer {
    pub(crate) fn new(api: Api, id: &str, model: &str) -> Self {
        let prefix = format!(
            "{{\"id\":{},\"object\":\"{}\",\"model\":{},\"choices\":[{{\"index\":0,",
            json_string(id),
            api.object(true),
            json_string(model),
        );
        Self { api, prefix }
    }

    /// Appends a token event to `out`.
    pub(crate) fn token(&self, out: &mut String, index: u64, text: &str) {
        let text = json_string(text);
        let _ = write!(out, "id: {index}\ndata: {}", self.prefix);
        let _ = match self.api {
            Api::Text => write!(out, "\"text\":{text},"),
            Api::Chat => write!(out, "\"delta\":{{\"content\":{text}}},"),
        };
        out.push_str("\"finish_reason\":null}]}\n\n");
    }

    /// Appends the closing events to `out`.
    pub(crate) fn end(&self, out: &mut String, finish: Reason) {
        let empty = match self.api {
            Api::Text => "\"text\":\"\"",
            Api::Chat => "\"delta\":{}",
        };
        let _ = write!(
            out,
            "data: {}{empty},\"finish_reason\":\"{}\"}}]}}\n\ndata: [DONE]\n\n",
            self.prefix,
            finish.as_str(),
        );
    }

    /// Appends the event of a final error to `out`.
    pub(crate) fn failure(out: &mut String, failure: &Failure) {
        let _ = write!(out, "event: error\ndata: {}\n\n", failure.body());
    }
}

/// The body of a response that is not streamed.
pub(crate) fn response_body(
    api: Api,
    id: &str,
    model: &str,
    text: &str,
    finish: Reason,
    tokens: u64,
) -> serde_json::Value {
    let finish = finish.as_str();
    let choice = match api {
        Api::Text => serde_json::json!({"index": 0, "text": text, "finish_reason": finish}),
        Api::Chat => serde_json::json!({
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": finish,
        }),
    };
    serde_json::json!({
        "id": id,
        "object": api.object(false),
        "model": model,
        "choices": [choice],
        "usage": {"completion_tokens": tokens},
    })
}

fn json_string(text: &str) -> SmolStr {
    serde_json::to_string(text).map_or_else(|_| SmolStr::new("\"\""), SmolStr::from)
}
