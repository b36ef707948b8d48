//! One try: carries out the commands of its aggregate at the platform and the target.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, Method};
use smol_str::{SmolStr, format_smolstr};

use super::actions::Inner;
use super::recent::Known;
use super::record::digest;
use super::verdict::answer;
use super::{
    Call, Cause, Claim, Command, Event, Held, KIND, Now, Outcome, Pick, Point, Record, Report,
    Stage, Terms, Verdict, claim_name,
};
use crate::failure::Failure;
use crate::http::{Via, encode, request};
use crate::platform::{Error, Expect, Object};
use crate::target::plain::{Connection, SendError};

/// Header that carries the key to the service.
const KEY_HEADER: &str = "idempotency-key";

/// Most targets that are tried for a connection.
const CONNECTS: usize = 3;

/// Share of the platform's named wait that is waited, so that refused writes do not come back
/// together.
const JITTER: Range<f64> = 0.75..1.25;

/// Longest wait for the answer of a status call.
const CHECK_TIMEOUT: Duration = Duration::from_secs(2);

/// One try with its input and output.
pub(crate) struct Attempt {
    inner: Arc<Inner>,
    call: Call,
    /// The key that the service sees.
    key: SmolStr,
    name: SmolStr,
    record: Record,
    connection: Option<(Connection, Pick)>,
    excluded: Vec<SocketAddr>,
}

impl Attempt {
    pub(crate) fn new(inner: Arc<Inner>, call: Call, key: SmolStr) -> Self {
        let name = claim_name(&call.service, &call.account, &key);
        let key = service_key(&call.account, &key);
        let path = call.status.as_deref().map(|p| p.trim_end_matches('/'));
        let check = path.map(|path| format!("{path}/{}", encode(&key)));
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
            name,
            inner,
            call,
            key,
            record,
            connection: None,
            excluded: Vec::new(),
        }
    }

    /// Name of its claim.
    pub(crate) fn name(&self) -> &SmolStr {
        &self.name
    }

    /// Digest of its request.
    pub(crate) fn digest(&self) -> &SmolStr {
        &self.record.digest
    }

    pub(crate) async fn run(mut self) -> Result<Outcome, Failure> {
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
        if let Err(wait) = self.inner.admit() {
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
                    let verdict = end.label();
                    metrics::counter!("endivefork_actions_total", "verdict" => verdict)
                        .increment(1);
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
        let written = platform.put(KIND, &self.name, record, expect).await;
        self.inner.observe(&written);
        match written {
            Ok(rev) => Event::Written(rev),
            Err(Error::Conflict(None)) => Event::Conflict(None),
            Err(Error::Conflict(Some(present))) => {
                held(&present).map_or(Event::WriteLost, |held| Event::Conflict(Some(held)))
            }
            Err(Error::Throttled(wait)) => {
                Event::Refused(Some(wait.mul_f64(rand::random_range(JITTER))))
            }
            Err(Error::Unavailable(_) | Error::Rejected(_)) => Event::Refused(None),
            Err(Error::Unknown(_) | Error::Gone) => Event::WriteLost,
        }
    }

    async fn read(&mut self) -> Event {
        let read = self.inner.platform.get(KIND, &self.name).await;
        self.inner.observe(&read);
        match read {
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

/// The key that the service sees. Callers' keys are unique only within their account.
fn service_key(account: &str, key: &str) -> SmolStr {
    format_smolstr!("{}:{key}", encode(account))
}

fn held(object: &Object) -> Option<Held> {
    let record = object.decode().ok()?;
    Some(Held {
        rev: object.rev,
        record,
    })
}
