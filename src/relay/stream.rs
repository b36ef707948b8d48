//! Streams: events are passed on as they come. While an engine makes them, another one in another
//! failure domain holds a copy of the run's memory, and goes on from it when the first is lost.

mod open;

use std::collections::VecDeque;
use std::sync::Arc;

use axum::body::Body;
use axum::response::Response;
use bytes::Bytes;
use futures_util::stream;
use http::response::Parts;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use smol_str::SmolStr;
use tokio::time::Instant;

use super::answer::Own;
use super::call::Done;
use super::caller_request::CallerRequest;
use super::copies::{CopySource, CopyTask, RunCopy};
use super::events::Splitter;
use super::links::Link;
use super::pace::Pace;
use super::record::Outcome;
use super::relay::Relay;
use super::silence::{Loss, Silence};
use crate::caller::Running;
use crate::ident::TargetKey;
use crate::routing::{Lease, Work};
use crate::telemetry::Stage;

/// Output tokens assumed of a request that does not say.
const OUTPUT_DEFAULT: u32 = 1024;

/// Why a stream has no further run.
#[derive(Debug)]
enum Stop {
    Own(Own),
    Failed(Response),
}

/// A run at one engine.
#[derive(Debug)]
struct Leg {
    lease: Lease,
    /// Closed with the leg, which tells the engine to stop.
    _link: Link,
    body: Incoming,
    splitter: Splitter,
    pace: Pace,
    /// When the last event came.
    heard: Instant,
    /// Since when the next one is waited for; none until somebody waits.
    waiting: Option<Instant>,
    /// Whether its events have numbers: then one without is no sign of progress.
    numbered: bool,
}

impl Leg {
    /// Notes an event; whether it is the first of the run.
    fn advance(&mut self, now: Instant) -> bool {
        let first = !self.pace.has_begun();
        self.pace.event(now - self.heard);
        self.heard = now;
        self.waiting = None;
        first
    }
}

/// A stream in progress.
#[derive(Debug)]
struct Stream {
    relay: Arc<Relay>,
    inquiry: CallerRequest,
    digest: u128,
    leg: Option<Leg>,
    /// Where the engine of the present run is to copy its memory, until it has begun to answer.
    backup: Option<RunCopy>,
    /// Keeps the copy of the present run.
    keeper: Option<CopyTask>,
    /// A copy of the lost run's memory, to go on from.
    copy: Option<RunCopy>,
    head: Option<Parts>,
    last: Option<u64>,
    ahead: VecDeque<Bytes>,
    ended: bool,
    /// When the last event before a loss came.
    paused: Option<Instant>,
    runs: u32,
    declined: u32,
    /// Whether a copy of each run is kept.
    keeps: bool,
    avoided: Vec<TargetKey>,
    /// Domain of the last lost run: others there may be lost too.
    shunned: Vec<SmolStr>,
    target: SmolStr,
    _running: Option<Running>,
}

/// What comes next on the caller's connection.
enum Step {
    Event(Bytes),
    End,
    Stop(Stop),
}

/// Starts a stream and returns its head once the first event is there.
pub(crate) async fn run(relay: &Arc<Relay>, inquiry: CallerRequest, running: Running) -> Done {
    let last = inquiry.ask.last;
    let digest = inquiry.digest();
    let repeats = inquiry.route.kind.repeats();
    let returned = last.filter(|_| repeats);
    let service = inquiry.service.clone();
    let copy = match returned {
        Some(_) => relay.known_copy(digest).await,
        None => None,
    };
    let mut stream = Stream {
        relay: Arc::clone(relay),
        inquiry,
        leg: None,
        digest,
        backup: None,
        keeper: None,
        copy,
        head: None,
        last,
        ahead: VecDeque::new(),
        ended: false,
        paused: None,
        runs: 0,
        declined: 0,
        keeps: repeats && relay.keeps_copies(&service),
        avoided: Vec::new(),
        shunned: Vec::new(),
        target: SmolStr::default(),
        _running: Some(running),
    };
    let (response, why) = match stream.step().await {
        Step::Event(bytes) => {
            stream.ahead.push_back(bytes);
            return stream.begin();
        }
        Step::End => {
            stream.ended = true;
            return stream.begin();
        }
        Step::Stop(Stop::Own(own)) => (own.into(), own.why),
        Step::Stop(Stop::Failed(response)) => (response, "engine failed"),
    };
    stream.done(response, why)
}

impl Stream {
    fn done(&self, response: Response, why: &'static str) -> Done {
        Done {
            response,
            why,
            target: self.target.clone(),
            attempts: self.runs + self.declined,
            stage: Stage::EndToEnd,
        }
    }

    fn begin(mut self) -> Done {
        let head = self.head.take();
        let target = self.target.clone();
        let attempts = self.runs + self.declined;
        let events = stream::unfold(self, |mut stream| async move {
            let next = stream.pass().await?;
            Some((next, stream))
        });
        let body = Body::from_stream(events);
        let response = match head {
            Some(head) => Response::from_parts(head, body),
            None => Response::new(body),
        };
        Done {
            response,
            why: "stream begun",
            target,
            attempts,
            stage: Stage::FirstToken,
        }
    }

    /// The next bytes for the caller; an error cuts the connection, so that the answer does not
    /// look complete.
    async fn pass(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        if let Some(bytes) = self.ahead.pop_front() {
            return Some(Ok(bytes));
        }
        if self.ended {
            return None;
        }
        match self.step().await {
            Step::Event(bytes) => Some(Ok(bytes)),
            Step::End => {
                self.ended = true;
                self.relay.runs.lock().remove(self.digest);
                self.close(200, "stream complete");
                None
            }
            Step::Stop(stop) => {
                self.ended = true;
                let why = match stop {
                    Stop::Own(own) => own.why,
                    Stop::Failed(_) => "engine failed",
                };
                self.close(0, why);
                Some(Err(std::io::Error::other(why)))
            }
        }
    }

    fn close(&self, status: u16, why: &str) {
        let inquiry = &self.inquiry;
        self.relay.record.answered(&Outcome {
            id: &inquiry.ask.id,
            route: &inquiry.route.name,
            service: &inquiry.service,
            rules: inquiry.rules,
            target: &self.target,
            attempts: self.runs + self.declined,
            status,
            why,
            took: inquiry.arrived.elapsed(),
        });
    }

    async fn step(&mut self) -> Step {
        loop {
            if self.leg.is_none()
                && let Err(stop) = self.open().await
            {
                return Step::Stop(stop);
            }
            match self.read().await {
                Ok(Some(bytes)) => return Step::Event(bytes),
                Ok(None) => return Step::End,
                Err(loss) => {
                    if let Some(stop) = self.lose(loss) {
                        return Step::Stop(stop);
                    }
                }
            }
        }
    }

    /// The next event that the caller has not got; `None` at the end.
    async fn read(&mut self) -> Result<Option<Bytes>, Loss> {
        let keeper = self.keeper.as_ref();
        let copied = keeper.is_some_and(|k| k.has_copy(&self.relay));
        let leg = self.leg.as_mut().expect("a run is open");
        loop {
            if let Some(event) = leg.splitter.next() {
                leg.numbered |= event.id.is_some();
                if event.id.is_some() || !leg.numbered {
                    let now = Instant::now();
                    if leg.advance(now) {
                        leg.lease.prefill_done();
                        if let Some(since) = self.paused.take() {
                            let account = self.inquiry.account.as_deref();
                            let span = self.relay.metrics.span(account.unwrap_or_default());
                            span.record(Stage::ResumeGap, now - since);
                        }
                        let source = source(&self.inquiry, self.digest, leg);
                        let keeper = source
                            .map(|source| CopyTask::start(&self.relay, source, self.backup.take()));
                        self.keeper = keeper.filter(|_| self.keeps);
                    }
                }
                match (event.id, self.last) {
                    (Some(id), Some(last)) if id <= last => continue,
                    (Some(id), Some(last)) if id > last + 1 => {
                        return Err(Loss::Broken("an event is missing"));
                    }
                    (Some(id), _) => self.last = Some(id),
                    (None, _) => {}
                }
                return Ok(Some(event.bytes));
            }
            let silence = Silence {
                relay: &self.relay,
                id: &self.inquiry.ask.id,
                lease: &leg.lease,
                pace: &leg.pace,
                copied,
                waiting: *leg.waiting.get_or_insert_with(Instant::now),
                deadline: self.inquiry.deadline,
            };
            match silence.guard(leg.body.frame()).await? {
                None => {
                    let rest = leg.splitter.rest();
                    return Ok((!rest.is_empty()).then_some(rest));
                }
                Some(Err(_)) => return Err(Loss::Broken("answer broke off")),
                Some(Ok(frame)) => {
                    let now = std::time::Instant::now();
                    self.relay.router.mark_alive(leg.lease.key, now);
                    if let Ok(data) = frame.into_data()
                        && !leg.splitter.push(&data)
                    {
                        return Err(Loss::Broken("event too large"));
                    }
                }
            }
        }
    }

    /// Leaves an engine alone that was last heard at `heard`, and its domain for the next run.
    fn shun(&mut self, lease: &Lease, loss: Loss, heard: Instant) {
        let record = &self.relay.record;
        let id = &self.inquiry.ask.id;
        record.attempt_lost(id, &lease.name(), loss.why(), heard.elapsed());
        self.avoided.push(lease.key);
        self.shunned = vec![lease.domain()];
        if loss != Loss::Dead && loss != Loss::Late {
            let now = std::time::Instant::now();
            self.relay.router.mark_suspect(lease.key, now);
            self.relay.probe(lease);
        }
    }

    /// Ends the present run. Returns why there is no further one, if so.
    fn lose(&mut self, loss: Loss) -> Option<Stop> {
        if let Some(leg) = self.leg.take() {
            self.paused = leg.pace.has_begun().then_some(leg.heard);
            self.shun(&leg.lease, loss, leg.heard);
        }
        // An engine copies memory only once it has begun to answer.
        self.backup = None;
        self.copy = self.keeper.take().and_then(|k| k.take());
        match loss {
            Loss::Late => Some(Stop::Own(Own::late())),
            _ if !self.inquiry.route.kind.repeats() => {
                Some(Stop::Own(Own::lost("the engine's answer was lost")))
            }
            _ => None,
        }
    }
}

fn source(inquiry: &CallerRequest, digest: u128, leg: &Leg) -> Option<CopySource> {
    Some(CopySource {
        id: inquiry.ask.id.clone(),
        engine: leg.lease.probe_target()?,
        memory: work(inquiry).memory,
        digest,
    })
}

fn work(inquiry: &CallerRequest) -> Work {
    let ask = &inquiry.ask;
    let output = match ask.output {
        0 => OUTPUT_DEFAULT,
        output => output,
    };
    Work {
        prompt: ask.prompt,
        memory: ask.prompt + output,
        runs: 1,
    }
}
