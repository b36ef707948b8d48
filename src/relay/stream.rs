//! Streams: events are passed on as they come. While an engine makes them, another one in another
//! failure domain holds a copy of the run's memory, and goes on from it when the first is lost.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::response::Response;
use bytes::Bytes;
use futures_util::stream;
use http::StatusCode;
use http::response::Parts;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use smol_str::SmolStr;
use tokio::time::{Instant, sleep_until, timeout};

use super::answer::Own;
use super::call::{Done, promises};
use super::copies::{Keeper, RunCopy, Source};
use super::dialect::{Attempt, Copied};
use super::events::Splitter;
use super::inquiry::Inquiry;
use super::links::{Link, SendError};
use super::pace::Pace;
use super::progress::{Progress, progress};
use super::record::{Outcome, Placed};
use super::relay::{READ_RATE, Relay, Wanted};
use crate::caller::Running;
use crate::ident::TargetKey;
use crate::routing::{Lease, Work};
use crate::telemetry::Stage;

/// Attempts that did not run before a stream is refused.
const DECLINED_MAX: u32 = 5;

/// When a refused stream may come back: less than a prompt's reading, as engines are lost and come
/// back within about a second.
const COME_BACK: Duration = Duration::from_millis(500);

/// Time given to what already lies in the socket before silence counts: this process may have
/// been held up itself.
const LATE_TIMER: Duration = Duration::from_millis(3);

/// Output tokens assumed of a request that does not say.
const OUTPUT_DEFAULT: u32 = 1024;

/// Why a run at one engine is over before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    Dead,
    Silent,
    Broken(&'static str),
    Late,
}

impl Loss {
    fn why(self) -> &'static str {
        match self {
            Self::Dead => "engine found dead",
            Self::Silent => "engine silent",
            Self::Broken(why) => why,
            Self::Late => "no time left",
        }
    }
}

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
    heard: Instant,
}

/// A stream in progress.
#[derive(Debug)]
struct Stream {
    relay: Arc<Relay>,
    inquiry: Inquiry,
    digest: u128,
    leg: Option<Leg>,
    /// Where the engine of the present run is to copy its memory, until it has begun to answer.
    backup: Option<RunCopy>,
    /// Keeps the copy of the present run.
    keeper: Option<Keeper>,
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
pub(crate) async fn run(relay: &Arc<Relay>, inquiry: Inquiry, running: Running) -> Done {
    let last = inquiry.ask.last;
    let digest = inquiry.digest();
    let repeats = inquiry.route.kind.repeats();
    let returned = last.filter(|_| repeats);
    let service = inquiry.service.clone();
    let copy = returned.and_then(|_| relay.known_copy(digest));
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
                self.relay.runs.lock().ended(self.digest);
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
                heard: leg.heard,
                deadline: self.inquiry.deadline,
            };
            match silence.guard(leg.body.frame()).await? {
                None => {
                    let rest = leg.splitter.rest();
                    return Ok((!rest.is_empty()).then_some(rest));
                }
                Some(Err(_)) => return Err(Loss::Broken("answer broke off")),
                Some(Ok(frame)) => {
                    let now = Instant::now();
                    if !leg.pace.has_begun() {
                        leg.lease.prompt_read();
                        if let Some(since) = self.paused.take() {
                            let account = self.inquiry.account.as_deref();
                            let span = self.relay.metrics.span(account.unwrap_or_default());
                            span.record(Stage::ResumeGap, now - since);
                        }
                        let source = source(&self.inquiry, self.digest, leg);
                        let keeper = source
                            .map(|source| Keeper::start(&self.relay, source, self.backup.take()));
                        self.keeper = keeper.filter(|_| self.keeps);
                    }
                    let router = &self.relay.router;
                    router.mark_alive(leg.lease.key, now.into_std());
                    leg.pace.event(now - leg.heard);
                    leg.heard = now;
                    if let Ok(data) = frame.into_data()
                        && !leg.splitter.push(&data)
                    {
                        return Err(Loss::Broken("event too large"));
                    }
                }
            }
        }
    }

    /// Ends the present run. Returns why there is no further one, if so.
    fn lose(&mut self, loss: Loss) -> Option<Stop> {
        if let Some(leg) = self.leg.take() {
            self.paused = leg.pace.has_begun().then_some(leg.heard);
            let record = &self.relay.record;
            let id = &self.inquiry.ask.id;
            record.attempt_lost(id, &leg.lease.name(), loss.why(), leg.heard.elapsed());
            self.avoided.push(leg.lease.key);
            self.shunned = vec![leg.lease.domain()];
            if loss != Loss::Dead && loss != Loss::Late {
                let now = std::time::Instant::now();
                self.relay.router.mark_suspect(leg.lease.key, now);
                self.relay.probe(&leg.lease);
            }
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

    /// Opens a run: from the copy of the lost one if there is one, else by reading the prompt.
    async fn open(&mut self) -> Result<(), Stop> {
        loop {
            let now = Instant::now();
            if now >= self.inquiry.deadline {
                return Err(self.out_of("no time left"));
            }
            let runs_left = self.runs < self.inquiry.route.attempts.max(1);
            let asked = self.runs + self.declined;
            if !runs_left || self.declined > DECLINED_MAX {
                return Err(self.out_of("no attempt left"));
            }
            if asked > 0 && !self.relay.take_retry(&self.inquiry.service) {
                return Err(self.out_of("retry budget spent"));
            }
            let copy = self.copy.take();
            let fit = |c: &RunCopy| self.relay.router.is_fit(c.lease.key, now.into_std());
            let (copy, copied) = match copy.filter(fit) {
                Some(mut copy) => {
                    copy.lease.start_run();
                    (Some(copy.lease), Some(copy.copied))
                }
                None => (None, None),
            };
            let Some(lease) = copy.or_else(|| self.choose()) else {
                return Err(self.out_of("no engine can be reached"));
            };
            let backup = self.choose_backup(&lease);
            self.backup = backup.map(|l| RunCopy::kept(l, &self.inquiry.ask.id));
            self.target = lease.name();
            self.note_placed(&lease, copied.is_some());
            self.relay.news.notify_one();
            match self.attempt(lease, copied).await {
                Ok(leg) => {
                    self.leg = Some(leg);
                    return Ok(());
                }
                Err(Missed::Stop(stop)) => return Err(stop),
                Err(Missed::Again) => {}
            }
        }
    }

    fn note_placed(&self, lease: &Lease, copied: bool) {
        let backup = self.backup.as_ref().map(|c| c.lease.name());
        let now = std::time::Instant::now();
        self.relay.record.placed(&Placed {
            id: &self.inquiry.ask.id,
            target: &self.target,
            backup: &backup.unwrap_or_default(),
            from: if copied { "copy" } else { "prompt" },
            last: self.last.unwrap_or_default(),
            work: self.relay.router.work(lease.key, now),
        });
    }

    /// The final answer when there is nowhere to go on.
    fn out_of(&self, why: &'static str) -> Stop {
        Stop::Own(match self.runs {
            0 => Own::refuse(COME_BACK, why),
            _ => Own::lost(why),
        })
    }

    fn choose(&self) -> Option<Lease> {
        let wanted = Wanted {
            service: &self.inquiry.service,
            work: Some(work(&self.inquiry)),
            avoid: &self.shunned,
            excluded: &self.avoided,
        };
        let anywhere = Wanted {
            avoid: &[],
            excluded: &[],
            ..wanted
        };
        let chosen = self.relay.choose(wanted);
        chosen.or_else(|| self.relay.choose(anywhere))
    }

    /// An engine of another failure domain, to survive the loss of this one; if there is none,
    /// another engine of this one.
    fn choose_backup(&self, lease: &Lease) -> Option<Lease> {
        if !self.keeps {
            return None;
        }
        let mut avoid = self.shunned.clone();
        avoid.push(lease.domain());
        let mut excluded = self.avoided.clone();
        excluded.push(lease.key);
        let elsewhere = Wanted {
            service: &self.inquiry.service,
            work: Some(Work {
                prompt: 0,
                runs: 0,
                ..work(&self.inquiry)
            }),
            avoid: &avoid,
            excluded: &excluded,
        };
        let other = Wanted {
            avoid: &avoid[avoid.len() - 1..],
            ..elsewhere
        };
        let near = Wanted {
            avoid: &[],
            ..elsewhere
        };
        let choices = [elsewhere, other, near];
        choices
            .into_iter()
            .find_map(|wanted| self.relay.choose(wanted))
    }

    async fn attempt(&mut self, lease: Lease, copied: Option<Copied>) -> Result<Leg, Missed> {
        let opened = self
            .relay
            .links
            .open(lease.key, lease.addr, Duration::ZERO)
            .await;
        let Ok(mut link) = opened else {
            self.relay.probe(&lease);
            return Err(self.declined(&lease, "could not connect"));
        };
        let now = Instant::now();
        let name = lease.name();
        let attempt = Attempt {
            id: &self.inquiry.ask.id,
            left: Some(self.inquiry.left(now)),
            target: &name,
            account: self.inquiry.account.as_deref(),
            last: self.last,
            backup: self.backup.as_ref().map(|c| c.lease.addr),
            copied: copied.as_ref(),
        };
        let request = self.inquiry.attempt(&self.relay.dialect, &attempt);
        let pace = Pace::new(self.expected(&lease, copied.is_some()));
        let silence = Silence {
            relay: &self.relay,
            id: &self.inquiry.ask.id,
            lease: &lease,
            pace: &pace,
            copied: false,
            heard: now,
            deadline: self.inquiry.deadline,
        };
        let sent = silence.guard(link.send(request)).await;
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(SendError::Unsent)) => return Err(self.declined(&lease, "connection closed")),
            Ok(Err(SendError::Lost(why))) => {
                return Err(self.missed(&lease, Loss::Broken(why), now));
            }
            Err(loss) => return Err(self.missed(&lease, loss, now)),
        };
        let (mut parts, body) = response.into_parts();
        let head = (self.relay.dialect.head)(&self.inquiry.ask.id, parts.status, &parts.headers);
        let broken = match parts.status {
            _ if head.foreign => Some("answer to another request"),
            _ if head.encoded => Some("encoded answer"),
            _ if head.misdirected => {
                let now = std::time::Instant::now();
                self.relay.router.mark_leaving(lease.key, now);
                return Err(self.declined(&lease, "another target has the address"));
            }
            _ if head.not_run => return Err(self.declined(&lease, "declined")),
            StatusCode::OK if head.signed => None,
            status if status.is_success() => Some("unsigned answer"),
            status if promises(status) => Some("refused without a promise"),
            _ => return Err(self.failed(&lease, parts, body).await),
        };
        if let Some(why) = broken {
            return Err(self.missed(&lease, Loss::Broken(why), now));
        }
        self.runs += 1;
        if self.last == self.inquiry.ask.last {
            (self.relay.dialect.pass)(&mut parts.headers);
            self.head = Some(parts);
        }
        Ok(Leg {
            lease,
            _link: link,
            body,
            splitter: Splitter::default(),
            pace,
            heard: now,
        })
    }

    fn expected(&self, lease: &Lease, copied: bool) -> Duration {
        match copied {
            true => Duration::ZERO,
            false => {
                let own = f64::from(self.inquiry.ask.prompt) / READ_RATE;
                let queue = self.relay.reading_time(lease.key);
                queue.max(Duration::from_secs_f64(own))
            }
        }
    }

    /// The engine has not run the request.
    fn declined(&mut self, lease: &Lease, why: &'static str) -> Missed {
        self.declined += 1;
        self.avoided.push(lease.key);
        let record = &self.relay.record;
        record.attempt_lost(&self.inquiry.ask.id, &lease.name(), why, Duration::ZERO);
        Missed::Again
    }

    /// The engine may have begun to run the request.
    fn missed(&mut self, lease: &Lease, loss: Loss, since: Instant) -> Missed {
        self.runs += 1;
        self.backup = None;
        self.avoided.push(lease.key);
        self.shunned = vec![lease.domain()];
        let record = &self.relay.record;
        let id = &self.inquiry.ask.id;
        record.attempt_lost(id, &lease.name(), loss.why(), since.elapsed());
        if loss != Loss::Dead && loss != Loss::Late {
            let now = std::time::Instant::now();
            self.relay.router.mark_suspect(lease.key, now);
            self.relay.probe(lease);
        }
        match self.lose(loss) {
            Some(stop) => Missed::Stop(stop),
            None => Missed::Again,
        }
    }

    /// The engine answered with a failure of its own.
    async fn failed(&mut self, lease: &Lease, mut parts: Parts, body: Incoming) -> Missed {
        let left = self.inquiry.left(Instant::now());
        let body = timeout(left, body.collect()).await;
        let Ok(Ok(body)) = body else {
            return self.missed(lease, Loss::Broken("answer broke off"), Instant::now());
        };
        let again = parts.status.is_server_error()
            && self.inquiry.route.kind.repeats()
            && self.runs + 1 < self.inquiry.route.attempts;
        if again {
            return self.missed(lease, Loss::Broken("engine failed"), Instant::now());
        }
        self.runs += 1;
        let begun = self.last != self.inquiry.ask.last;
        if begun {
            return Missed::Stop(Stop::Own(Own::lost("engine failed")));
        }
        (self.relay.dialect.pass)(&mut parts.headers);
        let body = Body::from(body.to_bytes());
        Missed::Stop(Stop::Failed(Response::from_parts(parts, body)))
    }
}

fn source(inquiry: &Inquiry, digest: u128, leg: &Leg) -> Option<Source> {
    Some(Source {
        id: inquiry.ask.id.clone(),
        engine: leg.lease.subject()?,
        memory: work(inquiry).memory,
        digest,
    })
}

fn work(inquiry: &Inquiry) -> Work {
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

/// Why an attempt brought no run.
enum Missed {
    Again,
    Stop(Stop),
}

/// The silence of a run's target.
struct Silence<'a> {
    relay: &'a Relay,
    id: &'a str,
    lease: &'a Lease,
    pace: &'a Pace,
    /// Whether there is a copy to go on from.
    copied: bool,
    /// When the target was last heard.
    heard: Instant,
    deadline: Instant,
}

impl Silence<'_> {
    /// Waits for `task` while the target lives and its silence is explained.
    async fn guard<T>(&self, task: impl Future<Output = T>) -> Result<T, Loss> {
        tokio::pin!(task);
        let lost = self.lease.lost();
        tokio::pin!(lost);
        let since = self.heard.max(Instant::now());
        let pace = self.pace;
        let mut probe_at = since + pace.probe_after();
        let mut ask_at = (!pace.has_begun()).then(|| since + pace.ask_after());
        let mut give_up = since + pace.give_up_after(self.copied);
        loop {
            let next = probe_at.min(give_up).min(self.deadline);
            let wake = ask_at.map_or(next, |at| at.min(next));
            tokio::select! {
                biased;
                done = task.as_mut() => return Ok(done),
                () = lost.as_mut() => return Err(Loss::Dead),
                () = sleep_until(wake) => {}
            }
            if let Ok(done) = timeout(LATE_TIMER, task.as_mut()).await {
                return Ok(done);
            }
            let now = Instant::now();
            if now >= self.deadline {
                return Err(Loss::Late);
            }
            if ask_at.is_some_and(|at| now >= at) {
                let asked = progress(self.relay, self.lease, self.id);
                let progress = tokio::select! {
                    biased;
                    done = task.as_mut() => return Ok(done),
                    () = lost.as_mut() => return Err(Loss::Dead),
                    progress = asked => progress,
                };
                match progress {
                    Progress::Reading => give_up = Instant::now() + 2 * pace.ask_again(),
                    Progress::Made | Progress::Unknown => return Err(Loss::Silent),
                    Progress::NoAnswer => {}
                }
                ask_at = Some(Instant::now() + pace.ask_again());
            }
            if now >= give_up {
                return Err(Loss::Silent);
            }
            if now >= probe_at {
                self.relay.probe(self.lease);
                probe_at = now + pace.probe_after();
            }
        }
    }
}
