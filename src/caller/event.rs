//! Server-sent events of a generation, in the shape that client libraries know.

use std::fmt::Write as _;

use smol_str::SmolStr;

use crate::failure::Failure;
use crate::target::engine::Reason;

/// Which of the two completion calls a caller made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shape {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

impl Shape {
    fn object(self, stream: bool) -> &'static str {
        match (self, stream) {
            (Self::Text, _) => "text_completion",
            (Self::Chat, true) => "chat.completion.chunk",
            (Self::Chat, false) => "chat.completion",
        }
    }
}

/// Writes the events of one generation. The part that does not change is encoded once.
#[derive(Debug)]
pub(crate) struct Writer {
    shape: Shape,
    head: String,
}

impl Writer {
    /// A writer for the request `id` and `model`.
    pub(crate) fn new(shape: Shape, id: &str, model: &str) -> Self {
        let head = format!(
            "{{\"id\":{},\"object\":\"{}\",\"model\":{},\"choices\":[{{\"index\":0,",
            quoted(id),
            shape.object(true),
            quoted(model),
        );
        Self { shape, head }
    }

    /// Appends a token's event to `out`.
    pub(crate) fn token(&self, out: &mut String, index: u64, text: &str) {
        let text = quoted(text);
        let _ = write!(out, "id: {index}\ndata: {}", self.head);
        let _ = match self.shape {
            Shape::Text => write!(out, "\"text\":{text},"),
            Shape::Chat => write!(out, "\"delta\":{{\"content\":{text}}},"),
        };
        out.push_str("\"finish_reason\":null}]}\n\n");
    }

    /// Appends the closing events to `out`.
    pub(crate) fn end(&self, out: &mut String, finish: Reason) {
        let empty = match self.shape {
            Shape::Text => "\"text\":\"\"",
            Shape::Chat => "\"delta\":{}",
        };
        let _ = write!(
            out,
            "data: {}{empty},\"finish_reason\":\"{}\"}}]}}\n\ndata: [DONE]\n\n",
            self.head,
            finish.as_str(),
        );
    }

    /// Appends the event of a final failure to `out`.
    pub(crate) fn failure(out: &mut String, failure: &Failure) {
        let _ = write!(out, "event: error\ndata: {}\n\n", failure.body());
    }
}

/// The body of an answer that is not streamed.
pub(crate) fn whole(
    shape: Shape,
    id: &str,
    model: &str,
    text: &str,
    finish: Reason,
    tokens: u64,
) -> serde_json::Value {
    let finish = finish.as_str();
    let choice = match shape {
        Shape::Text => serde_json::json!({"index": 0, "text": text, "finish_reason": finish}),
        Shape::Chat => serde_json::json!({
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": finish,
        }),
    };
    serde_json::json!({
        "id": id,
        "object": shape.object(false),
        "model": model,
        "choices": [choice],
        "usage": {"completion_tokens": tokens},
    })
}

fn quoted(text: &str) -> SmolStr {
    serde_json::to_string(text).map_or_else(|_| SmolStr::new("\"\""), SmolStr::from)
}
