//! Carries out the commands of a try: platform, target and time.

use std::fmt;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{HeaderValue, Method};
use parking_lot::Mutex;
use smol_str::SmolStr;

use super::pace::Pace;
use super::recent::{Known, Recent};
use super::record::digest;
use super::settle::Settler;
use super::verdict::answer;
use super::{
    Call, Cause, Choose, Claim, Command, Event, Held, Hook, KIND, Live, Now, Outcome, Pick, Point,
    Record, Report, Retention, Rules, Stage, Sweeper, Terms, Verdict, claim_name,
};
use crate::admission::Budget;
use crate::config::Repeat;
use crate::failure::Failure;
use crate::http::{Client as Http, Via, request};
use crate::platform::{Client, Error, Expect, Object};
use crate::target::plain::{Connection, SendError};

/// Most characters of an idempotency key.
pub(crate) const KEY_LIMIT: usize = 255;

/// Header that carries the key to the service.
const KEY_HEADER: &str = "idempotency-key";

/// Most targets that are tried for a connection.
const CONNECTS: usize = 3;

/// Time between two looks whether all is settled.
const SETTLE_TICK: Duration = Duration::from_millis(20);

/// Share of the platform's named wait that is waited, so that refused writes do not come back
/// together.
const JITTER: Range<f64> = 0.75..1.25;

/// Longest wait for the answer of a status call.
const CHECK_TIMEOUT: Duration = Duration::from_secs(2);

/// Calls of plain services by one instance.
#[derive(Clone)]
pub struct Actions {
    pub(crate) inner: Arc<Inner>,
}

pub(crate) struct Inner {
    name: SmolStr,
    platform: Client,
    pub(crate) choose: Choose,
    rules: Rules,
    hook: Option<Hook>,
    settler: Settler,
    running: AtomicUsize,
    pace: Mutex<Pace>,
    recent: Recent,
    pub(crate) http: Http,
    pub(crate) budget: Budget,
}

impl fmt::Debug for Actions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Actions({})", self.inner.name)
    }
}

impl Actions {
    /// Calls by the instance `name`, with claims at `platform`.
    #[must_use]
    pub fn new(name: SmolStr, platform: Client, choose: Choose, rules: Rules) -> Self {
        Self::with_hook(name, platform, choose, rules, None)
    }

    /// The same, with a hook that is awaited at each point of each try.
    #[must_use]
    pub fn with_hook(
        name: SmolStr,
        platform: Client,
        choose: Choose,
        rules: Rules,
        hook: Option<Hook>,
    ) -> Self {
        let inner = Inner {
            name,
            settler: Settler::new(platform.clone()),
            running: AtomicUsize::new(0),
            pace: Mutex::new(Pace::new(Instant::now())),
            platform,
            choose,
            rules,
            hook,
            recent: Recent::default(),
            http: Http::new(),
            budget: Budget::default(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Number of tries that run, their callers there or not, and of claims that are still being
    /// settled in the background. A graceful stop waits for 0.
    #[must_use]
    pub fn unsettled(&self) -> usize {
        self.inner.running.load(Ordering::Relaxed) + self.inner.settler.pending()
    }

    /// Waits until nothing is unsettled.
    pub async fn settled(&self) {
        while self.unsettled() > 0 {
            tokio::time::sleep(SETTLE_TICK).await;
        }
    }

    /// A sweeper of the claims at the same platform, for the part that falls to this instance
    /// among those that are `live`.
    #[must_use]
    pub fn sweeper(&self, retention: Retention, live: Live) -> Sweeper {
        let inner = &self.inner;
        let choose = Arc::clone(&inner.choose);
        Sweeper::new(
            inner.name.clone(),
            inner.platform.clone(),
            retention,
            live,
            choose,
        )
    }

    /// Makes a call. A non-repeatable one goes on to its end when its caller goes away.
    ///
    /// # Errors
    /// When there is no answer of the service; the failure says what is certain.
    pub async fn run(&self, call: Call) -> Result<Outcome, Failure> {
        check_path(&call.path)?;
        if call.repeat == Repeat::Safe {
            return self.run_safe(call).await;
        }
        let key = check_key(call.key.as_deref())?;
        let one = Try::new(Arc::clone(&self.inner), call, key);
        self.inner.running.fetch_add(1, Ordering::Relaxed);
        let inner = Arc::clone(&self.inner);
        let task = tokio::spawn(async move {
            let told = one.run().await;
            inner.running.fetch_sub(1, Ordering::Relaxed);
            told
        });
        let lost = |_| Failure::unknown("internal", "the try was cut off inside the instance");
        task.await.unwrap_or_else(|e| Err(lost(e)))
    }
}

fn check_path(path: &str) -> Result<(), Failure> {
    match path.parse::<PathAndQuery>() {
        Ok(_) if path.starts_with('/') => Ok(()),
        _ => Err(Failure::not_run(
            400,
            "path_invalid",
            "the path is not a valid one",
        )),
    }
}

fn check_key(key: Option<&str>) -> Result<SmolStr, Failure> {
    let allowed = |key: &str| key.bytes().all(|b| b.is_ascii_graphic());
    match key {
        None | Some("") => Err(Failure::not_run(
            400,
            "key_missing",
            "this route needs an Idempotency-Key, since its calls must not be repeated",
        )),
        Some(key) if key.len() > KEY_LIMIT || !allowed(key) => Err(Failure::not_run(
            400,
            "key_invalid",
            "an Idempotency-Key has 1 to 255 printable ASCII characters without spaces",
        )),
        Some(key) => Ok(key.into()),
    }
}

/// One try with its input and output.
struct Try {
    inner: Arc<Inner>,
    call: Call,
    key: SmolStr,
    name: SmolStr,
    record: Record,
    connection: Option<(Connection, Pick)>,
    excluded: Vec<SocketAddr>,
}

impl Try {
    fn new(inner: Arc<Inner>, call: Call, key: SmolStr) -> Self {
        let path = call.status.as_deref();
        let check = path.map(|path| format!("{}/{key}", path.trim_end_matches('/')));
        let parts = [
            call.method.as_str().as_bytes(),
            call.path.as_bytes(),
            &call.body,
        ];
        let record = Record {
            digest: digest(&parts),
            service: call.service.clone(),
            owner: inner.name.clone(),
            nonce: format!("{:032x}", rand::random::<u128>()).into(),
            at_ms: 0,
            check: check.map(SmolStr::from),
            stage: Stage::Claimed,
        };
        Self {
            name: claim_name(&call.service, &call.account, &key),
            inner,
            call,
            key,
            record,
            connection: None,
            excluded: Vec::new(),
        }
    }

    async fn run(mut self) -> Result<Outcome, Failure> {
        let known = self.inner.recent.get(&self.name);
        match &known {
            Some(known) if known.digest != self.record.digest => {
                return answer(Verdict::KeyReused);
            }
            Some(Known {
                outcome: Some(outcome),
                ..
            }) => return answer(Verdict::Replayed(outcome.clone())),
            _ => {}
        }
        if let Err(wait) = self.inner.pace.lock().admit(Instant::now()) {
            let cause = Cause::Platform(Some(wait));
            return answer(match known {
                Some(_) => Verdict::Unknown(cause),
                None => Verdict::NotRun(cause),
            });
        }
        let terms = Terms {
            record: self.record.clone(),
            timeout: self.call.timeout,
            deadline: Instant::now() + self.call.deadline,
            known_sent: known.is_some(),
        };
        let mut claim = Claim::new(self.inner.rules, terms);
        let mut event = Event::Start;
        loop {
            let command = claim.step(event, Now::read());
            self.pass(&command).await;
            event = match command {
                Command::Connect => self.connect().await,
                Command::Write { record, over } => self.write(&record, over).await,
                Command::Read => self.read().await,
                Command::Send(by) => self.send(by).await,
                Command::Check(path) => self.check(&path).await,
                Command::Wait(time) => {
                    tokio::time::sleep(time).await;
                    Event::Waited
                }
                Command::Finish(end, leftover) => {
                    if let Some(leftover) = leftover {
                        self.inner.settler.spawn(self.name.clone(), leftover);
                    }
                    self.remember(&end);
                    return answer(end);
                }
            };
        }
    }

    async fn pass(&mut self, command: &Command) {
        let point = match command {
            Command::Connect => Point::Connect,
            Command::Write { record, .. } => match record.stage {
                Stage::Claimed => Point::Claim,
                Stage::Sent => Point::Mark,
                Stage::Done { .. } => Point::Store,
                Stage::Released => Point::Release,
            },
            Command::Send(_) => Point::Send,
            Command::Finish(..) => Point::Answer,
            Command::Read | Command::Check(_) | Command::Wait(_) => return,
        };
        if let Some(hook) = &self.inner.hook {
            hook(point, self.record.nonce.clone()).await;
        }
    }

    async fn connect(&mut self) -> Event {
        self.connection = None;
        while self.excluded.len() < CONNECTS {
            let Some(pick) = (self.inner.choose)(self.call.seek(), &self.excluded) else {
                break;
            };
            match Connection::open(pick.addr).await {
                Ok(connection) => {
                    self.connection = Some((connection, pick));
                    return Event::Connected;
                }
                Err(_) => {
                    self.excluded.push(pick.addr);
                    (pick.report)(Report::Unreachable);
                }
            }
        }
        Event::NoTarget
    }

    async fn write(&mut self, record: &Record, over: u64) -> Event {
        let expect = match over {
            0 => Expect::Absent,
            rev => Expect::Rev(rev),
        };
        let platform = &self.inner.platform;
        match platform.put(KIND, &self.name, record, expect).await {
            Ok(rev) => Event::Written(rev),
            Err(Error::Conflict(None)) => Event::Conflict(None),
            Err(Error::Conflict(Some(present))) => {
                held(&present).map_or(Event::WriteLost, |held| Event::Conflict(Some(held)))
            }
            Err(Error::Throttled(wait)) => {
                self.inner.pace.lock().refuse(Instant::now());
                Event::Refused(Some(wait.mul_f64(rand::random_range(JITTER))))
            }
            Err(Error::Unavailable(_) | Error::Rejected(_)) => Event::Refused(None),
            Err(Error::Unknown(_) | Error::Gone) => Event::WriteLost,
        }
    }

    async fn read(&mut self) -> Event {
        match self.inner.platform.get(KIND, &self.name).await {
            Ok(None) => Event::Read(None),
            Ok(Some(object)) => {
                held(&object).map_or(Event::ReadFailed, |held| Event::Read(Some(held)))
            }
            Err(_) => Event::ReadFailed,
        }
    }

    async fn send(&mut self, by: Instant) -> Event {
        let Some((connection, pick)) = self.connection.take() else {
            return Event::NotSent;
        };
        if connection.is_closed() || Instant::now() >= by {
            (pick.report)(Report::Unused);
            return Event::NotSent;
        }
        let mut headers = self.call.headers.clone();
        let key = HeaderValue::from_str(&self.key).expect("the key was checked");
        headers.insert(KEY_HEADER, key);
        let call = &self.call;
        let Ok(request) =
            connection.request(call.method.clone(), &call.path, &headers, call.body.clone())
        else {
            return Event::NotSent;
        };
        match connection.send(request, call.timeout).await {
            Ok(answer) => {
                (pick.report)(Report::Answered(answer.status.as_u16()));
                Event::Answered(Outcome::from_answer(answer))
            }
            Err(SendError::NotSent) => {
                (pick.report)(Report::Unused);
                Event::NotSent
            }
            Err(SendError::Lost(_)) => {
                (pick.report)(Report::Lost);
                Event::AnswerLost
            }
        }
    }

    /// Asks any target of the service, over a new connection.
    async fn check(&mut self, path: &str) -> Event {
        let Some(pick) = (self.inner.choose)(self.call.seek(), &[]) else {
            return Event::Checked(None);
        };
        let url = format!("http://{}{path}", pick.addr);
        let ask = request(Method::GET, &url, Bytes::new());
        let answer = self.inner.http.send(Via::Fresh, ask, CHECK_TIMEOUT).await;
        Event::Checked(answer.ok().as_ref().and_then(Outcome::from_status))
    }

    /// Keeps what is final.
    fn remember(&self, end: &Verdict) {
        let outcome = match end {
            Verdict::Ran(outcome) | Verdict::Replayed(outcome) => Some(outcome.clone()),
            Verdict::Unknown(_) => None,
            Verdict::TooLarge(_) | Verdict::NotRun(_) | Verdict::KeyReused => return,
        };
        let known = Known {
            digest: self.record.digest.clone(),
            outcome: outcome.filter(|o| o.body.len() <= super::OUTCOME_LIMIT),
        };
        self.inner.recent.insert(self.name.clone(), known);
    }
}

fn held(object: &Object) -> Option<Held> {
    let record = object.decode().ok()?;
    Some(Held {
        rev: object.rev,
        record,
    })
}
