//! Opening a run: which engine, from what, and what its head says.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::response::Response;
use http::StatusCode;
use http::response::Parts;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout};

use super::{Leg, Stop, Stream, work};
use crate::relay::answer::{Own, come_back};
use crate::relay::call::promises;
use crate::relay::copies::RunCopy;
use crate::relay::dialect::{Attempt, Copied};
use crate::relay::events::Splitter;
use crate::relay::links::SendError;
use crate::relay::pace::Pace;
use crate::relay::record::Placed;
use crate::relay::relay::{READ_RATE, Wanted};
use crate::relay::silence::{Loss, Silence};
use crate::routing::{Lease, Work};

/// Attempts that did not run before a stream is refused.
const DECLINED_MAX: u32 = 5;

/// When a refused stream may come back at the earliest: less than a prompt's reading, as engines are lost and come
/// back within about a second.
const COME_BACK: Duration = Duration::from_millis(500);

/// Why an attempt brought no run.
enum Missed {
    Again,
    Stop(Stop),
}

impl Stream {
    /// Opens a run: from the copy of the lost one if there is one, else by reading the prompt.
    pub(super) async fn open(&mut self) -> Result<(), Stop> {
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
            if asked > 0 && !self.relay.take_retry(&self.inquiry.service).await {
                return Err(self.out_of("retry budget spent"));
            }
            let copy = self.copy.take();
            let fit = |c: &RunCopy| self.relay.router.is_available(c.lease.key, now.into_std());
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
            self.backup = backup.map(|l| RunCopy::automatic(l, &self.inquiry.ask.id));
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
            0 => Own::refuse(come_back(COME_BACK, &self.inquiry.ask.id), why),
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
            waiting: now,
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
            waiting: None,
            numbered: false,
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
        self.shun(lease, loss, since);
        match self.lose(loss) {
            Some(stop) => Missed::Stop(stop),
            None => Missed::Again,
        }
    }

    /// The engine answered with a failure of its own.
    async fn failed(&mut self, lease: &Lease, mut parts: Parts, body: Incoming) -> Missed {
        let left = self.inquiry.left(Instant::now());
        let relay = Arc::clone(&self.relay);
        let body = match timeout(left, relay.bodies.collect(body)).await {
            Ok(Ok(body)) => body,
            Ok(Err(e)) => return self.missed(lease, Loss::Broken(e.why()), Instant::now()),
            Err(_) => return self.missed(lease, Loss::Late, Instant::now()),
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
        let body = Body::from(body);
        Missed::Stop(Stop::Failed(Response::from_parts(parts, body)))
    }
}
