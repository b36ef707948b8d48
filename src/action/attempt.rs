//! Driver of one attempt: executes the commands of its state machine at the platform and the
//! target.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, Method};
use smol_str::{SmolStr, format_smolstr};

use super::actions::Inner;
use super::cache::CachedClaim;
use super::record::digest;
use super::verdict::into_result;
use super::{
    CLAIM_KIND, Call, Cause, ChosenTarget, Claim, Command, Event, Now, Outcome, Params, Point,
    Record, Stage, StoredClaim, TargetResult, Verdict, claim_name,
};
use crate::failure::Failure;
use crate::http::{Via, encode, request};
use crate::platform::{Error, Expect, Object};
use crate::target::plain::{Connection, SendError};

/// Header by which the service receives the key.
const KEY_HEADER: &str = "idempotency-key";

/// Maximum number of targets that are tried for a connection.
const MAX_CONNECTS: usize = 3;

/// Jitter factor for the wait that the platform names, so that refused writes are not retried
/// simultaneously.
const JITTER: Range<f64> = 0.75..1.25;

/// Timeout of a status call.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// One attempt to run a non-repeatable action.
pub(crate) struct Attempt {
    inner: Arc<Inner>,
    call: Call,
    /// The key that is sent to the service.
    key: SmolStr,
    name: SmolStr,
    record: Record,
    connection: Option<(Connection, ChosenTarget)>,
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

    /// Name of the claim object.
    pub(crate) fn name(&self) -> &SmolStr {
        &self.name
    }

    /// Digest of the request.
    pub(crate) fn digest(&self) -> &SmolStr {
        &self.record.digest
    }

    pub(crate) async fn run(mut self) -> Result<Outcome, Failure> {
        let cached = self.inner.cache.get(&self.name);
        match &cached {
            Some(cached) if cached.digest != self.record.digest => {
                return into_result(Verdict::KeyReused);
            }
            Some(CachedClaim {
                outcome: Some(outcome),
                ..
            }) => return into_result(Verdict::Replayed(outcome.clone())),
            _ => {}
        }
        if let Err(wait) = self.inner.admit() {
            let cause = Cause::Platform(Some(wait));
            return into_result(match cached {
                Some(_) => Verdict::Unknown(cause),
                None => Verdict::NotRun(cause),
            });
        }
        let params = Params {
            record: self.record.clone(),
            timeout: self.call.timeout,
            deadline: Instant::now() + self.call.deadline,
            known_sent: cached.is_some(),
        };
        let mut claim = Claim::new(self.inner.limits, params);
        let mut event = Event::Start;
        loop {
            if let Some(end) = self.inner.last_send(self.call.timeout) {
                claim.end_by(end);
            }
            let command = claim.step(event, Now::read());
            self.call_hook(&command).await;
            event = match command {
                Command::Connect => self.connect().await,
                Command::Write { record, base } => self.write(&record, base).await,
                Command::Read => self.read().await,
                Command::Send(send_by) => self.send(send_by).await,
                Command::Check(path) => self.check(&path).await,
                Command::Wait(time) => {
                    tokio::time::sleep(time).await;
                    Event::Waited
                }
                Command::Finish(verdict, write) => {
                    if let Some(write) = write {
                        self.inner.deferred.spawn(self.name.clone(), write);
                    }
                    self.cache_verdict(&verdict);
                    let label = verdict.label();
                    metrics::counter!("endivefork_actions_total", "verdict" => label).increment(1);
                    return into_result(verdict);
                }
            };
        }
    }

    async fn call_hook(&mut self, command: &Command) {
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
        while self.excluded.len() < MAX_CONNECTS {
            let Some(pick) = (self.inner.choose)(self.call.target_query(), &self.excluded) else {
                break;
            };
            match Connection::open(pick.addr).await {
                Ok(connection) => {
                    self.connection = Some((connection, pick));
                    return Event::Connected;
                }
                Err(_) => {
                    self.excluded.push(pick.addr);
                    (pick.report)(TargetResult::Unreachable);
                }
            }
        }
        Event::NoTarget
    }

    async fn write(&mut self, record: &Record, base: u64) -> Event {
        let expect = match base {
            0 => Expect::Absent,
            rev => Expect::Rev(rev),
        };
        let platform = &self.inner.platform;
        let written = platform.put(CLAIM_KIND, &self.name, record, expect).await;
        self.inner.observe(&written);
        match written {
            Ok(rev) => Event::Written(rev),
            Err(Error::Conflict(None)) => Event::Conflict(None),
            Err(Error::Conflict(Some(present))) => stored_claim(&present)
                .map_or(Event::WriteLost, |claim| Event::Conflict(Some(claim))),
            Err(Error::Throttled(wait)) => {
                Event::Refused(Some(wait.mul_f64(rand::random_range(JITTER))))
            }
            Err(Error::Unavailable(_) | Error::Rejected(_)) => Event::Refused(None),
            Err(Error::Unknown(_) | Error::Gone) => Event::WriteLost,
        }
    }

    async fn read(&mut self) -> Event {
        let read = self.inner.platform.get(CLAIM_KIND, &self.name).await;
        self.inner.observe(&read);
        match read {
            Ok(None) => Event::Read(None),
            Ok(Some(object)) => {
                stored_claim(&object).map_or(Event::ReadFailed, |claim| Event::Read(Some(claim)))
            }
            Err(_) => Event::ReadFailed,
        }
    }

    async fn send(&mut self, send_by: Instant) -> Event {
        let Some((connection, pick)) = self.connection.take() else {
            return Event::NotSent;
        };
        if connection.is_closed() || Instant::now() >= send_by {
            (pick.report)(TargetResult::Unused);
            return Event::NotSent;
        }
        let mut headers = self.call.headers.clone();
        let key = HeaderValue::from_str(&self.key).expect("the key was validated");
        headers.insert(KEY_HEADER, key);
        let call = &self.call;
        let Ok(request) =
            connection.request(call.method.clone(), &call.path, &headers, call.body.clone())
        else {
            return Event::NotSent;
        };
        match connection.send(request, call.timeout).await {
            Ok(answer) => {
                (pick.report)(TargetResult::Answered(answer.status.as_u16()));
                Event::Answered(Outcome::from_answer(answer))
            }
            Err(SendError::NotSent) => {
                (pick.report)(TargetResult::Unused);
                Event::NotSent
            }
            Err(SendError::Lost(_)) => {
                (pick.report)(TargetResult::Lost);
                Event::AnswerLost
            }
        }
    }

    /// Makes the status call at any target of the service, over a new connection.
    async fn check(&mut self, path: &str) -> Event {
        let Some(pick) = (self.inner.choose)(self.call.target_query(), &[]) else {
            return Event::Checked(None);
        };
        let url = format!("http://{}{path}", pick.addr);
        let req = request(Method::GET, &url, Bytes::new());
        let answer = self.inner.http.send(Via::Fresh, req, STATUS_TIMEOUT).await;
        Event::Checked(answer.ok().as_ref().and_then(Outcome::from_status))
    }

    /// Caches a final result.
    fn cache_verdict(&self, verdict: &Verdict) {
        let outcome = match verdict {
            Verdict::Ran(outcome) | Verdict::Replayed(outcome) => Some(outcome.clone()),
            Verdict::Unknown(_) => None,
            Verdict::TooLarge(_) | Verdict::NotRun(_) | Verdict::KeyReused => return,
        };
        let cached = CachedClaim {
            digest: self.record.digest.clone(),
            outcome: outcome.filter(|o| o.body.len() <= super::OUTCOME_LIMIT),
        };
        self.inner.cache.insert(self.name.clone(), cached);
    }
}

/// The key that is sent to the service. Includes the account, since callers' keys are unique only
/// within it.
fn service_key(account: &str, key: &str) -> SmolStr {
    format_smolstr!("{}:{key}", encode(account))
}

fn stored_claim(object: &Object) -> Option<StoredClaim> {
    let record = object.decode().ok()?;
    Some(StoredClaim {
        rev: object.rev,
        record,
    })
}
