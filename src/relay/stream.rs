//! Relays streaming responses. Events are forwarded as they arrive. While one engine generates, an
//! engine in another failure domain holds a copy of the run's KV cache, and the stream resumes from
//! that copy when the first engine is lost.

mod ends;
mod open;
mod registration;
mod sequence;
mod silent;
mod waits;

use std::collections::VecDeque;
use std::sync::Arc;

use axum::body::Body;
use axum::response::Response;
use bytes::Bytes;
use futures_util::stream;
use http::response::Parts;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use parking_lot::Mutex;
use smol_str::SmolStr;
use tokio::time::Instant;

use super::call::FinalReply;
use super::caller_request::CallerRequest;
use super::connections::{Connection, GONE_AT_END};
use super::copies::{CopySource, CopyTask, RunCopy};
use super::events::EventSplitter;
use super::local_reply::LocalReply;
use super::placing::Patience;
use super::quarantine::{LostRun, RunStage};
use super::record::{FailedAttempt, count_abandoned};
use super::relay::Relay;
use super::run_location::{RunId, RunKey};
use super::stall::{Loss, StallDetector};
use super::stall_timeouts::StallTimeouts;
use super::successor::{Mover, Successor};
use crate::caller::OpenRequest;
use crate::ident::TargetKey;
use crate::quarantine::BEGIN_WINDOW;
use crate::routing::{Lease, Work};
use crate::telemetry::Stage;
use registration::Registration;
use sequence::{Next, Rest, Sequence};
use silent::SilentRun;

/// Why a stream cannot be continued on another engine.
#[derive(Debug)]
enum StreamError {
    Local(LocalReply),
    /// An engine's complete answer that is not a stream.
    Target(Response),
}

/// How far a run has come.
#[derive(Clone, Copy, Debug)]
struct RunProgress {
    /// Arrival time of the last event, or when the request was sent.
    last_seen: Instant,
    /// Arrival time of the response head.
    begun: Option<Instant>,
    /// Arrival time of the first event.
    first_event: Option<Instant>,
    /// Events received, including those that the caller already has.
    events: u64,
}

/// One upstream run of a stream.
#[derive(Debug)]
struct Upstream {
    lease: Lease,
    /// Closed when it is dropped, which makes the engine cancel the run.
    connection: Option<Connection>,
    body: Incoming,
    splitter: EventSplitter,
    timeouts: StallTimeouts,
    progress: RunProgress,
    /// Start of the wait for the next event; `None` while nobody is reading.
    wait_start: Option<Instant>,
    sequence: Sequence,
    /// Whether the end of the stream shows only by that of its connection.
    is_unframed: bool,
    /// Whether it has outlived its beginning.
    has_survived: bool,
}

impl RunProgress {
    /// How far a run was when it was lost.
    fn stage(&self) -> RunStage {
        match (self.first_event, self.begun) {
            (Some(first), _) if self.last_seen - first >= BEGIN_WINDOW => RunStage::Outlived,
            (Some(_), _) => RunStage::Began,
            (None, Some(head)) if head.elapsed() < BEGIN_WINDOW => RunStage::Began,
            (None, _) => RunStage::Waiting,
        }
    }
}

impl Upstream {
    /// Returns `true` once, when the run has lasted longer than those that crash their targets.
    fn outlives_its_beginning(&mut self, now: Instant) -> bool {
        // An engine may send the head before it reads the prompt.
        let first = self.progress.first_event;
        let survives = first.is_some_and(|at| now - at >= BEGIN_WINDOW);
        survives && !std::mem::replace(&mut self.has_survived, survives)
    }

    /// Returns `true` once, when a run that has not outlived its beginning has ended with events.
    fn ends_alive(&mut self) -> bool {
        let has_events = self.progress.first_event.is_some();
        has_events && !std::mem::replace(&mut self.has_survived, true)
    }

    /// Records the arrival of an event and returns whether it is the first of the run.
    fn record_event(&mut self, now: Instant) -> bool {
        let first = !self.timeouts.has_started();
        self.timeouts.record_gap(now - self.progress.last_seen);
        self.progress.last_seen = now;
        self.progress.first_event.get_or_insert(now);
        self.progress.events += 1;
        self.wait_start = None;
        first
    }
}

#[derive(Debug)]
struct Stream {
    relay: Arc<Relay>,
    request: CallerRequest,
    patience: Patience,
    registration: Registration,
    upstream: Option<Upstream>,
    /// The run before, until the current one has begun.
    silent: Option<SilentRun>,
    /// Engine that is to receive the copy of the current run's KV cache; moved to `copy_task` with
    /// the first event.
    backup: Option<RunCopy>,
    /// Maintains the copy of the current run's KV cache.
    copy_task: Option<CopyTask>,
    /// What was secured for the next run before the current one was given up.
    successor: Mutex<Option<Successor>>,
    /// Copy of the lost run's KV cache, from which the next run resumes.
    copy: Option<RunCopy>,
    head: Option<Parts>,
    last_id: Option<u64>,
    rest: Rest,
    pending: VecDeque<Bytes>,
    ended: bool,
    /// Arrival time of the last event before a loss; start of the resume gap.
    gap_start: Option<Instant>,
    runs: u32,
    declined: u32,
    /// Whether the service's engines keep a copy of each run.
    keeps_copy: bool,
    excluded: Vec<TargetKey>,
    /// Domain of the last lost run, avoided by the next one because its other engines may be lost
    /// too.
    avoid_domains: Vec<SmolStr>,
    target: SmolStr,
    /// Whether the run is the trial of a quarantine that is over.
    trial: bool,
    open_request: Option<OpenRequest>,
}

/// Outcome of one read from the stream.
enum Step {
    Event(Bytes),
    End,
    Error(StreamError),
}

/// Starts a stream and returns the response head once the first event has arrived.
pub(crate) async fn run(
    relay: &Arc<Relay>,
    request: CallerRequest,
    open_request: Option<OpenRequest>,
) -> FinalReply {
    let last = request.ask.last_event;
    let digest = request.run_digest();
    let repeats = request.route.kind.is_repeatable();
    let resumed = last.filter(|_| repeats);
    let service = request.service.clone();
    let keeps_copy = repeats && relay.keeps_copies(&service);
    let found = match resumed {
        Some(_) if keeps_copy => relay.find_copy(digest).await,
        _ => None,
    };
    let (follows, copy) = found.unzip();
    let key = RunKey {
        digest,
        id: RunId::random(),
        follows,
    };
    let registration = Registration::new(relay, key, keeps_copy, last.is_some());
    let mut stream = Stream {
        relay: Arc::clone(relay),
        patience: Patience::of(&request),
        request,
        upstream: None,
        silent: None,
        registration,
        backup: None,
        copy_task: None,
        successor: Mutex::default(),
        copy,
        head: None,
        last_id: last,
        rest: Rest::Unknown,
        pending: VecDeque::new(),
        ended: false,
        gap_start: None,
        runs: 0,
        declined: 0,
        keeps_copy,
        excluded: Vec::new(),
        avoid_domains: Vec::new(),
        target: SmolStr::default(),
        trial: false,
        open_request,
    };
    let (response, reason) = match stream.next_step().await {
        Step::Event(bytes) => {
            let left = stream.request.left(Instant::now());
            if stream.registration.publish(left).await {
                stream.pending.push_back(bytes);
                return stream.into_reply();
            }
            let reply = LocalReply::timed_out();
            (reply.into(), reply.reason)
        }
        Step::End => {
            stream.ended = true;
            return stream.into_reply();
        }
        Step::Error(StreamError::Local(reply)) => (reply.into(), reply.reason),
        Step::Error(StreamError::Target(response)) => match response.status().is_success() {
            true => (response, "answered"),
            false => (response, "engine failed"),
        },
    };
    stream.respond(response, reason)
}

impl Stream {
    fn respond(&self, response: Response, reason: &'static str) -> FinalReply {
        FinalReply {
            response,
            reason,
            target: self.target.clone(),
            attempts: self.runs + self.declined,
            stage: Stage::EndToEnd,
        }
    }

    fn into_reply(mut self) -> FinalReply {
        let head = self.head.take();
        let target = self.target.clone();
        let attempts = self.runs + self.declined;
        let events = stream::unfold(self, |mut stream| async move {
            let next = stream.next_chunk().await?;
            Some((next, stream))
        });
        let body = Body::from_stream(events);
        let response = match head {
            Some(head) => Response::from_parts(head, body),
            None => Response::new(body),
        };
        FinalReply {
            response,
            reason: "stream begun",
            target,
            attempts,
            stage: Stage::FirstToken,
        }
    }

    /// Returns the next bytes for the caller. An error aborts the connection, so that a truncated
    /// response does not look complete.
    async fn next_chunk(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        if let Some(bytes) = self.pending.pop_front() {
            return Some(Ok(bytes));
        }
        if self.ended {
            return None;
        }
        match self.next_step().await {
            Step::Event(bytes) => Some(Ok(bytes)),
            Step::End => {
                self.ended = true;
                self.registration.end();
                self.record_duration();
                self.log_end(200, "stream complete");
                None
            }
            Step::Error(error) => {
                self.ended = true;
                let reason = match error {
                    StreamError::Local(reply) => reply.reason,
                    StreamError::Target(_) => "engine failed",
                };
                if Instant::now() >= self.request.deadline {
                    self.record_duration();
                }
                self.log_end(0, reason);
                if let Some(open) = &self.open_request {
                    open.will_abort(reason);
                }
                Some(Err(std::io::Error::other(reason)))
            }
        }
    }

    async fn next_step(&mut self) -> Step {
        loop {
            if self.upstream.is_none()
                && let Err(error) = self.open().await
            {
                return Step::Error(error);
            }
            match self.read_event().await {
                Ok(Some(bytes)) => return Step::Event(bytes),
                Ok(None) => return Step::End,
                Err(loss) => {
                    let is_cut =
                        |u: &Upstream| u.sequence.has_begun() && u.splitter.is_inside_event();
                    if self.upstream.as_ref().is_some_and(is_cut) {
                        self.rest = Rest::Cut;
                    }
                    if loss == Loss::Stalled {
                        self.set_aside();
                    } else if let Some(error) = self.end_run(loss) {
                        return Step::Error(error);
                    }
                }
            }
        }
    }

    /// Returns the next event that the caller has not received, or `None` at the end of the stream.
    async fn read_event(&mut self) -> Result<Option<Bytes>, Loss> {
        let upstream = self.upstream.as_mut().expect("a run is open");
        loop {
            if let Some(event) = upstream.splitter.next() {
                let next = upstream.sequence.accept(&event, self.last_id)?;
                if next == Next::Comment {
                    match upstream.sequence.has_begun() {
                        true => return Ok(Some(event.bytes)),
                        // The response may still become another one.
                        false => continue,
                    }
                }
                let now = Instant::now();
                if upstream.outlives_its_beginning(now) {
                    let attempt = self.runs;
                    self.relay
                        .report_survival(&self.request, attempt, self.trial);
                    self.trial = false;
                }
                if upstream.record_event(now) {
                    upstream.lease.prefill_done();
                    let router = &self.relay.router;
                    router.record_answer(upstream.lease.key, now.into_std());
                    if let Some(since) = self.gap_start.take() {
                        let account = self.request.account.as_deref();
                        let span = self.relay.metrics.span(account.unwrap_or_default());
                        span.record(Stage::ResumeGap, now - since);
                    }
                    let source = copy_source(&self.request, self.registration.run, upstream);
                    let copy_task = source
                        .map(|source| CopyTask::start(&self.relay, source, self.backup.take()));
                    self.copy_task = copy_task.filter(|_| self.keeps_copy);
                }
                if next == Next::Repeated {
                    continue;
                }
                self.last_id = event.id;
                self.rest = Rest::Unknown;
                return Ok(Some(event.bytes));
            }
            let stall = StallDetector {
                relay: &self.relay,
                id: &self.request.ask.id,
                parts: &self.request.suspect_parts,
                lease: &upstream.lease,
                timeouts: &upstream.timeouts,
                mover: Mover {
                    relay: &self.relay,
                    request: &self.request,
                    attempts_left: self.request.route.max_attempts.saturating_sub(self.runs),
                    copy: self.copy_task.as_ref(),
                    excluded: &self.excluded,
                    work: estimate_work(&self.request),
                    found: &self.successor,
                },
                wait_start: *upstream.wait_start.get_or_insert_with(Instant::now),
                deadline: self.request.deadline,
            };
            match stall.watch(upstream.body.frame()).await? {
                None if upstream.splitter.is_inside_event() => {
                    return Err(Loss::Broken("answer ended inside an event"));
                }
                None => {
                    upstream.sequence.end(self.last_id, &mut self.rest)?;
                    let lease = &upstream.lease;
                    if upstream.is_unframed && !self.relay.has_outlived_answer(lease).await {
                        return Err(Loss::Broken(GONE_AT_END));
                    }
                    // A short answer ends before its run has outlived its beginning.
                    if upstream.ends_alive() {
                        let attempt = self.runs;
                        self.relay
                            .report_survival(&self.request, attempt, self.trial);
                        self.trial = false;
                    }
                    return Ok(None);
                }
                Some(Err(_)) => return Err(Loss::Broken("answer broke off")),
                Some(Ok(frame)) => {
                    let now = std::time::Instant::now();
                    self.relay.router.mark_alive(upstream.lease.key, now);
                    if let Ok(data) = frame.into_data()
                        && !upstream.splitter.push(&data)
                    {
                        return Err(Loss::Broken("event too large"));
                    }
                }
            }
        }
    }

    /// Excludes an engine that lost a run, and its domain, from the next run.
    fn exclude(&mut self, lease: &Lease, loss: Loss, progress: RunProgress) {
        self.excluded.push(lease.key);
        self.avoid_domains = vec![lease.domain()];
        self.record_loss(lease, loss, progress);
    }

    fn record_loss(&self, lease: &Lease, loss: Loss, progress: RunProgress) {
        let name = lease.name();
        let elapsed = progress.last_seen.elapsed();
        self.relay.decisions.attempt_failed(&FailedAttempt {
            begun: progress.begun.map(|at| at.elapsed()),
            events: progress.events,
            alive: self.relay.alive_age(lease),
            ..self.request.failed_attempt(&name, loss.reason(), elapsed)
        });
        if loss == Loss::Stalled {
            count_abandoned(loss.reason());
        }
        if loss == Loss::DeadlineExceeded || loss == Loss::Quarantined {
            return;
        }
        if loss != Loss::Dead {
            // A silence says nothing that the probe does not tell better.
            if loss != Loss::Stalled {
                let now = std::time::Instant::now();
                self.relay.router.mark_suspect(lease.key, now);
            }
            self.relay.probe(lease);
        }
        self.relay.report_loss(
            &self.request,
            LostRun {
                lease,
                stage: progress.stage(),
                is_dead: loss == Loss::Dead,
                trial: self.trial,
            },
        );
    }

    /// Ends the current run. Returns an error if the stream cannot be resumed.
    fn end_run(&mut self, loss: Loss) -> Option<StreamError> {
        if let Some(upstream) = self.upstream.take() {
            self.gap_start = upstream
                .timeouts
                .has_started()
                .then_some(upstream.progress.last_seen);
            self.exclude(&upstream.lease, loss, upstream.progress);
        }
        // An engine starts to copy the KV cache only with its first event, so an unstarted copy is
        // useless.
        self.backup = None;
        self.copy = self.copy_task.take().and_then(|k| k.take());
        match loss {
            Loss::DeadlineExceeded => Some(StreamError::Local(LocalReply::timed_out())),
            Loss::Quarantined => Some(StreamError::Local(LocalReply::lost(loss.reason()))),
            _ if !self.request.route.kind.is_repeatable() => Some(StreamError::Local(
                LocalReply::lost("the engine's answer was lost"),
            )),
            _ => None,
        }
    }
}

fn copy_source(request: &CallerRequest, run: RunKey, upstream: &Upstream) -> Option<CopySource> {
    Some(CopySource {
        id: request.ask.id.clone(),
        engine: upstream.lease.probe_target()?,
        memory: estimate_work(request).memory,
        run,
    })
}

fn estimate_work(request: &CallerRequest) -> Work {
    let prompt = request.ask.prompt_tokens;
    Work {
        prompt,
        memory: prompt + request.output_tokens(),
        runs: 1,
    }
}
