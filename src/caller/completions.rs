//! The completion APIs: validates a request, starts or resumes its generation and streams the
//! answer.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::{Duration, Instant};

use axum::body::Body;
use axum::extract::{Request, State};
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use futures_util::future::BoxFuture;
use futures_util::{FutureExt as _, stream};
use http::header::{CACHE_CONTROL, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue};
use http_body::Frame;
use http_body_util::StreamBody;
use serde::Deserialize;
use smol_str::{SmolStr, format_smolstr};

use super::answer::with_request_id;
use super::event::{self, Api, Writer};
use super::front::{Front, read_body};
use super::identity;
use super::open::OpenRequest;
use crate::config::Kind;
use crate::failure::Failure;
use crate::generation::{Event, GenerationRequest, Reader};
use crate::ident::{RequestKey, digest};
use crate::telemetry::{Span, Stage};

/// Maximum tokens of an answer when the request sets none.
const DEFAULT_TOKENS: u32 = 256;

/// Largest `max_tokens` that a request may set.
const MAX_TOKENS: u32 = 100_000;

/// Deadline for the complete answer when the request sets none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(3600);

/// Time before the final answers of a shutdown at which streams are handed over, so that callers
/// return while this instance still answers.
const HANDOVER_TIME: Duration = Duration::from_secs(1);

/// Size in bytes at which a frame is sent even if more tokens are ready.
const FRAME_BYTES: usize = 16 * 1024;

/// The request body of both APIs; the required fields depend on the API.
#[derive(Debug, Deserialize)]
struct CompletionBody {
    model: SmolStr,
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default)]
    messages: Option<Vec<Message>>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    priority: i64,
    #[serde(default)]
    deadline_ms: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: SmolStr,
    content: String,
}

/// `POST /v1/completions`.
pub(crate) async fn text(State(front): State<Front>, request: Request) -> Response {
    answer(front, Api::Text, request).await
}

/// `POST /v1/chat/completions`.
pub(crate) async fn chat(State(front): State<Front>, request: Request) -> Response {
    answer(front, Api::Chat, request).await
}

async fn answer(front: Front, api: Api, request: Request) -> Response {
    let arrival = Instant::now();
    front.drain.record_arrival();
    let headers = request.headers().clone();
    let key = match identity::idempotency_key(&headers) {
        Ok(Some(key)) => key,
        Ok(None) => identity::random_key(),
        Err(failure) => return failure.into_response(),
    };
    let response = match prepare(&front, api, &headers, &key, request, arrival).await {
        Err(failure) => {
            front.instance.metrics.refused(failure.reason);
            failure.into_response()
        }
        Ok(call) if call.stream => {
            let end = hand_over(front.clone(), call.reader.request().key).boxed();
            stream_answer(call, api, &key, end)
        }
        Ok(call) => tokio::select! {
            biased;
            answer = collect_answer(call, api, &key) => answer,
            () = front.drain.expiring() => refusal(true).into_response(),
        },
    };
    with_request_id(response, &key)
}

/// A started generation and how to answer it.
struct Call {
    reader: Reader,
    timer: LatencyTimer,
    model: SmolStr,
    stream: bool,
}

async fn prepare(
    front: &Front,
    api: Api,
    headers: &HeaderMap,
    key: &str,
    request: Request,
    arrival: Instant,
) -> Result<Call, Failure> {
    let instance = &front.instance;
    let view = instance.config.view();
    let caller = identity::authenticate(&view, headers)?;
    let cursor = identity::last_event(headers)?;
    let open = request.extensions().get::<OpenRequest>().cloned();
    let bytes = read_body(front, request).await?;
    let body = parse(&bytes)?;
    let prompt = prompt(api, &body)?;
    let max = tokens(&body)?;
    identity::check_cursor(cursor, max)?;
    let name = &body.model;
    let service = view
        .services
        .get(name)
        .filter(|s| s.value.kind == Kind::Generation)
        .ok_or_else(|| {
            Failure::not_run(404, "unknown_model", format!("no model is named {name}"))
        })?;
    let key = RequestKey::new(&caller.name, key);
    if let Some(open) = open {
        open.describe(&format_smolstr!("{key}"), name, view.rev);
    }
    let version = instance.version(name, key);
    let model = service
        .value
        .versions
        .get(&version)
        .map(|v| v.model.clone());
    let start = GenerationRequest {
        key,
        account: caller.name.clone(),
        service: name.clone(),
        version,
        model: model.unwrap_or_default(),
        prompt: Arc::from(prompt.as_str()),
        max_tokens: max.into(),
        priority: body.priority,
        deadline: (arrival
            + body
                .deadline_ms
                .map_or(DEFAULT_DEADLINE, Duration::from_millis))
        .into(),
        body_digest: digest(&[name, &prompt, &max.to_string()]),
    };
    let deadline = start.deadline.into_std().saturating_duration_since(arrival);
    let late = async {
        front.drain.begun().await;
        let known = instance.durations.expected(name, max);
        let expected = known.or_else(|| instance.generations.expected(name, max));
        let time = expected.unwrap_or(deadline).min(deadline);
        front.drain.short_of(time).await;
    };
    let reader = tokio::select! {
        biased;
        () = late => {
            let returning = cursor.is_some() || instance.generations.knows(key);
            return Err(refusal(returning));
        }
        reader = instance.generate(start, cursor, &caller.account) => reader?,
    };
    Ok(Call {
        reader,
        timer: LatencyTimer::new(instance.metrics.span(&caller.name), arrival),
        model: body.model,
        stream: body.stream,
    })
}

/// Refusal of a generation that would not end before the shutdown does.
fn refusal(returning: bool) -> Failure {
    match returning {
        true => Failure::interrupted("the generation goes on at another instance"),
        false => Failure::shutting_down(),
    }
}

fn parse(bytes: &[u8]) -> Result<CompletionBody, Failure> {
    serde_json::from_slice(bytes)
        .map_err(|e| Failure::not_run(400, "bad_json", format!("could not read the body: {e}")))
}

fn prompt(api: Api, body: &CompletionBody) -> Result<String, Failure> {
    match (api, &body.prompt, &body.messages) {
        (Api::Text, Some(prompt), None) => Ok(prompt.clone()),
        (Api::Chat, None, Some(messages)) if !messages.is_empty() => Ok(join_messages(messages)),
        (Api::Text, ..) => Err(Failure::not_run(
            400,
            "bad_prompt",
            "send prompt, and no messages",
        )),
        (Api::Chat, ..) => Err(Failure::not_run(
            400,
            "bad_prompt",
            "send at least one of messages, and no prompt",
        )),
    }
}

fn join_messages(messages: &[Message]) -> String {
    messages
        .iter()
        .map(|m| format!("{}: {}\n", m.role, m.content))
        .collect()
}

fn tokens(body: &CompletionBody) -> Result<u32, Failure> {
    match body.max_tokens.unwrap_or(DEFAULT_TOKENS) {
        n @ 1..=MAX_TOKENS => Ok(n),
        _ => Err(Failure::not_run(
            400,
            "bad_max_tokens",
            format!("max_tokens must be 1 to {MAX_TOKENS}"),
        )),
    }
}

/// Measures the latencies of one answer as the caller sees them.
struct LatencyTimer {
    span: Span,
    arrival: Instant,
    last: Option<Instant>,
}

impl LatencyTimer {
    fn new(span: Span, arrival: Instant) -> Self {
        Self {
            span,
            arrival,
            last: None,
        }
    }

    fn token(&mut self) {
        let now = Instant::now();
        match self.last {
            None => self.span.record(Stage::FirstToken, now - self.arrival),
            Some(last) => self.span.record(Stage::TokenGap, now - last),
        }
        self.last = Some(now);
    }

    fn end(&self) {
        self.span.record(Stage::EndToEnd, self.arrival.elapsed());
    }
}

struct AnswerStream {
    reader: Reader,
    writer: Writer,
    timer: LatencyTimer,
    /// The end of the stream by a shutdown.
    end: BoxFuture<'static, Failure>,
    done: bool,
}

/// Waits until a shutdown ends a stream here, and returns what its caller is told.
async fn hand_over(front: Front, key: RequestKey) -> Failure {
    let drain = &front.drain;
    drain.short_of(HANDOVER_TIME).await;
    tokio::select! {
        biased;
        () = front.instance.generations.replicated(key) => {
            Failure::interrupted("Last-Event-ID at another instance continues the generation")
        }
        () = drain.expiring() => {
            let text = "the instance shuts down, and no other one can continue the generation";
            Failure::failed(503, "shutting_down", text)
        }
    }
}

fn stream_answer(call: Call, api: Api, id: &str, end: BoxFuture<'static, Failure>) -> Response {
    let state = AnswerStream {
        writer: Writer::new(api, id, &call.model),
        reader: call.reader,
        timer: call.timer,
        end,
        done: false,
    };
    let frames = stream::unfold(state, |mut state| async move {
        let out = state.frame().await?;
        let frame = Frame::data(Bytes::from(out));
        Some((Ok::<_, Infallible>(frame), state))
    });
    let mut response = Response::new(Body::new(StreamBody::new(frames)));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}

impl AnswerStream {
    /// The next frame: all events that are ready, up to [`FRAME_BYTES`]. `None` after the end.
    async fn frame(&mut self) -> Option<String> {
        if self.done {
            return None;
        }
        let mut out = String::new();
        let mut next = Some(tokio::select! {
            biased;
            failure = &mut self.end => Event::Failed(failure),
            event = self.reader.next() => event,
        });
        while let Some(event) = next {
            self.write(&mut out, event);
            next = match self.done || out.len() >= FRAME_BYTES {
                true => None,
                false => self.reader.try_next(),
            };
        }
        Some(out)
    }

    fn write(&mut self, out: &mut String, event: Event) {
        match event {
            Event::Token { index, text } => {
                self.timer.token();
                self.writer.token(out, index, &text);
            }
            Event::End { reason, .. } => {
                self.timer.end();
                self.writer.end(out, reason);
                self.done = true;
            }
            Event::Failed(failure) => {
                Writer::failure(out, &failure);
                self.done = true;
            }
        }
    }
}

async fn collect_answer(call: Call, api: Api, id: &str) -> Response {
    let mut reader = call.reader;
    let mut text = String::new();
    let mut count = 0;
    let mut timer = call.timer;
    loop {
        match reader.next().await {
            Event::Token { text: part, .. } => {
                timer.token();
                text.push_str(&part);
                count += 1;
            }
            Event::End { reason, .. } => {
                timer.end();
                let body = event::response_body(api, id, &call.model, &text, reason, count);
                return axum::Json(body).into_response();
            }
            Event::Failed(failure) => {
                return failure.into_response();
            }
        }
    }
}
