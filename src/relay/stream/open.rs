//! Opens an upstream run: chooses the engine and the backup, sends the request and checks the
//! response head.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::response::Response;
use http::StatusCode;
use http::response::Parts;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout};

use super::sequence::Sequence;
use super::silent::{DECLINE_WAIT, SilentRun};
use super::waits::ENGINE_INTERVAL;
use super::{RunProgress, Stream, StreamError, Upstream, estimate_work};
use crate::relay::call::implies_not_run;
use crate::relay::connections::{Connection, GONE_AT_END, SendError, ends_with_connection};
use crate::relay::copies::RunCopy;
use crate::relay::dialect::{AttemptHead, CopyRef};
use crate::relay::events::EventSplitter;
use crate::relay::limits::Purpose;
use crate::relay::local_reply::{LocalReply, retry_after};
use crate::relay::placing::{Patience, PlaceError};
use crate::relay::record::{Placement, count_placement};
use crate::relay::relay::{PREFILL_RATE, TargetCriteria};
use crate::relay::shutdown::SHUTTING_DOWN;
use crate::relay::stall::{Loss, StallDetector};
use crate::relay::stall_timeouts::StallTimeouts;
use crate::relay::successor::{Mover, Place};
use crate::routing::{Lease, Work};

/// Shortest `Retry-After` of a refused stream. Less than the prefill of a prompt, as engines are
/// lost and return within about a second.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(500);

/// Longest time between taking a retry and its use. The budget counts a retry when it is taken.
const RETRY_LIFE: Duration = Duration::from_secs(1);

/// Why an attempt did not open a run.
enum AttemptError {
    Retry,
    Fatal(StreamError),
}

impl Stream {
    /// Opens a run. A silent run that was set aside for it goes on if it does not begin.
    pub(super) async fn open(&mut self) -> Result<(), StreamError> {
        let opened = self.open_next().await;
        match opened {
            Err(_) if self.silent.is_some() && self.restore_silent() => Ok(()),
            opened => {
                self.drop_silent();
                opened
            }
        }
    }

    /// Opens a run, from the copy of the lost run if there is one, otherwise by prefilling the
    /// prompt.
    async fn open_next(&mut self) -> Result<(), StreamError> {
        let mut holds_retry = false;
        loop {
            match self.relay.admit_suspect(&self.request).await {
                Ok(trial) => self.trial = trial,
                Err(left) => {
                    let reply = self.relay.refuse_suspect(left, self.runs > 0);
                    return Err(StreamError::Local(reply));
                }
            }
            let now = Instant::now();
            if now >= self.request.deadline {
                return Err(self.give_up("no time left"));
            }
            if !self.has_time() {
                return Err(self.give_up(SHUTTING_DOWN));
            }
            let runs_left = self.runs < self.request.route.max_attempts.max(1);
            let attempts = self.runs + self.declined;
            if !runs_left || !self.may_follow_declined().await {
                return Err(self.give_up("no attempt left"));
            }
            let successor = self.successor.lock().take();
            if successor.is_none() && !self.engine_returns().await {
                return Err(self.give_up("no engine can be reached"));
            }
            let has_retry =
                attempts == 0 || successor.is_some() || std::mem::take(&mut holds_retry);
            if !has_retry && !self.take_retry().await {
                return Err(self.give_up("retry budget spent"));
            }
            let copy = self.copy.take();
            let is_usable =
                |c: &RunCopy| self.relay.router.is_available(c.lease.key, now.into_std());
            let (key, place, connection) = match successor {
                Some(s) => (Some(s.key), Some(s.place), Some(s.connection)),
                None => (None, None, None),
            };
            let (lease, copied) = match (place, copy.filter(is_usable)) {
                (Some(Place::Prompt(lease)), _) => (Ok(lease), None),
                (Some(Place::Copy), Some(copy)) if Some(copy.lease.key) == key => from_copy(copy),
                (_, Some(copy)) if self.relay.permit(copy.lease.key).await => from_copy(copy),
                _ => (self.choose().await, None),
            };
            let lease = match lease {
                Ok(lease) => lease,
                Err(error) => {
                    let wait = match error {
                        PlaceError::Unavailable => ENGINE_INTERVAL,
                        PlaceError::AtLimit(wait) => {
                            wait.min(self.request.left(now) / 2).max(ENGINE_INTERVAL)
                        }
                    };
                    if self.pause(wait).await {
                        holds_retry = wait <= RETRY_LIFE;
                        continue;
                    }
                    if error == PlaceError::Unavailable && self.pause_early().await {
                        holds_retry = true;
                        continue;
                    }
                    return Err(match error {
                        PlaceError::Unavailable => self.give_up("no engine can be reached"),
                        PlaceError::AtLimit(wait) => self.refuse_at_limit(wait),
                    });
                }
            };
            // It may have waited for a permit meanwhile.
            if !self.has_time() {
                return Err(self.give_up(SHUTTING_DOWN));
            }
            if !self.trial
                && let Some(left) = self.relay.quarantine_left(&self.request.suspect_parts)
            {
                let reply = self.relay.refuse_suspect(left, self.runs > 0);
                return Err(StreamError::Local(reply));
            }
            let backup = self.choose_backup(&lease);
            self.backup = backup.map(|l| RunCopy::automatic(l, &self.request.ask.id));
            self.target = lease.name();
            self.log_placement(&lease, copied.is_some());
            self.relay.gossip_wakeup.notify_one();
            let connection = connection.filter(|_| key == Some(lease.key));
            let runs = self.runs;
            match self.attempt(lease, copied, connection).await {
                Ok(upstream) => {
                    self.upstream = Some(upstream);
                    return Ok(());
                }
                Err(AttemptError::Fatal(error)) => return Err(error),
                Err(AttemptError::Retry) if self.runs > runs => self.drop_silent(),
                Err(AttemptError::Retry) if self.restore_silent() => return Ok(()),
                Err(AttemptError::Retry) => {}
            }
        }
    }

    fn log_placement(&self, lease: &Lease, from_copy: bool) {
        count_placement(self.request.priority, "placed");
        let backup = self.backup.as_ref().map(|c| c.lease.name());
        let now = std::time::Instant::now();
        self.relay.decisions.placed(&Placement {
            id: &self.request.ask.id,
            target: &self.target,
            backup: &backup.unwrap_or_default(),
            from: if from_copy { "copy" } else { "prompt" },
            last: self.last_id.unwrap_or_default(),
            priority: self.request.priority,
            work: self.relay.router.work(lease.key, now),
        });
    }

    /// Final response when no further run is possible.
    fn give_up(&self, reason: &'static str) -> StreamError {
        StreamError::Local(match self.runs {
            0 if !self.has_time() => self.relay.refuse_late(),
            0 => {
                let least = retry_after(RETRY_AFTER_MIN, &self.request.ask.id);
                let wait = self.relay.return_time(&self.request).unwrap_or_default();
                LocalReply::unavailable(wait.max(least), reason)
            }
            _ => LocalReply::lost(reason),
        })
    }

    /// Final response when all engines are at their limits.
    fn refuse_at_limit(&self, wait: Duration) -> StreamError {
        let reason = "engines are at their limits";
        StreamError::Local(match self.runs {
            0 => LocalReply::unavailable(wait.max(RETRY_AFTER_MIN), reason),
            _ => LocalReply::lost(reason),
        })
    }

    async fn choose(&mut self) -> Result<Lease, PlaceError> {
        let wanted = TargetCriteria {
            service: &self.request.service,
            work: Some(estimate_work(&self.request)),
            avoid_domains: &self.avoid_domains,
            excluded: &self.excluded,
        };
        let unrestricted = TargetCriteria {
            avoid_domains: &[],
            excluded: &[],
            ..wanted
        };
        if let Some(lease) = self.relay.choose_now(wanted) {
            return Ok(lease);
        }
        // Outside the line, later requests would overtake a stream that has begun.
        let mut patience = match self.has_begun() {
            true => Patience::of_begun(&self.request),
            false => self.patience,
        };
        let placed = tokio::select! {
            biased;
            () = self.out_of_time() => Err(PlaceError::Unavailable),
            placed = self.relay.place(unrestricted, &mut patience) => placed,
        };
        self.patience = patience;
        placed
    }

    /// Chooses an engine in another failure domain, so that the copy survives the loss of this
    /// domain; failing that, another engine in the same domain.
    fn choose_backup(&self, lease: &Lease) -> Option<Lease> {
        if !self.keeps_copy {
            return None;
        }
        let mut avoid = self.avoid_domains.clone();
        avoid.push(lease.domain());
        let mut excluded = self.excluded.clone();
        excluded.push(lease.key);
        let preferred = TargetCriteria {
            service: &self.request.service,
            work: Some(Work {
                prompt: 0,
                runs: 0,
                ..estimate_work(&self.request)
            }),
            avoid_domains: &avoid,
            excluded: &excluded,
        };
        let other_domain = TargetCriteria {
            avoid_domains: &avoid[avoid.len() - 1..],
            ..preferred
        };
        let any_domain = TargetCriteria {
            avoid_domains: &[],
            ..preferred
        };
        let choices = [preferred, other_domain, any_domain];
        choices
            .into_iter()
            .find_map(|wanted| self.relay.choose(wanted))
    }

    async fn attempt(
        &mut self,
        lease: Lease,
        copied: Option<CopyRef>,
        connection: Option<Connection>,
    ) -> Result<Upstream, AttemptError> {
        let pool = &self.relay.pool;
        let acquired = match connection {
            Some(connection) => Ok(connection),
            None => pool.acquire(lease.key, lease.addr, None).await,
        };
        let Ok(mut connection) = acquired else {
            self.relay.probe(&lease);
            return Err(self.record_declined(&lease, "could not connect"));
        };
        if !self.relay.still_takes(lease.key) {
            return Err(self.record_declined(&lease, "target takes no further requests"));
        }
        if !self.has_time() {
            return Err(self.record_declined(&lease, SHUTTING_DOWN));
        }
        let holder = self.backup.as_ref().map(|c| c.lease.key);
        if holder.is_some_and(|key| !self.relay.still_takes(key)) {
            self.backup = None;
        }
        if !self.has_begun() {
            self.registration.record(self.backup.as_ref());
        }
        let now = Instant::now();
        let name = lease.name();
        let rules = self.relay.rules();
        let attempt = AttemptHead {
            id: &self.request.ask.id,
            time_left: Some(self.request.left(now)),
            target: &name,
            account: self.request.account.as_deref(),
            urgency: self.request.urgency(rules.as_deref()),
            last_event: self.last_id,
            backup: self.backup.as_ref().map(|c| c.lease.addr),
            resume_from: copied.as_ref(),
        };
        let request = self.request.attempt(&self.relay.dialect, &attempt);
        let timeouts = StallTimeouts::new(self.expected_prefill(&lease, copied.is_some()));
        let stall = StallDetector {
            relay: &self.relay,
            id: &self.request.ask.id,
            parts: &self.request.suspect_parts,
            lease: &lease,
            timeouts: &timeouts,
            mover: Mover {
                relay: &self.relay,
                request: &self.request,
                attempts_left: self
                    .request
                    .route
                    .max_attempts
                    .saturating_sub(self.runs + 1),
                copy: None,
                excluded: &self.excluded,
                work: estimate_work(&self.request),
                found: &self.successor,
            },
            wait_start: now,
            deadline: self.request.deadline,
        };
        let purpose = match self.runs + self.declined {
            _ if self.last_id.is_some() => Purpose::Resume,
            0 => Purpose::First,
            _ => Purpose::Retry,
        };
        self.relay.record_sent(lease.key, purpose);
        let mut silent = self.silent.take();
        let sent = {
            let sent = stall.watch(connection.send(request));
            tokio::pin!(sent);
            match timeout(DECLINE_WAIT, sent.as_mut()).await {
                Ok(sent) => sent,
                Err(_) => {
                    silent.iter_mut().for_each(SilentRun::end);
                    sent.await
                }
            }
        };
        self.silent = silent;
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(SendError::Unsent)) => {
                return Err(self.record_declined(&lease, "connection closed"));
            }
            Ok(Err(SendError::Lost(reason))) => {
                return Err(self.record_lost(&lease, Loss::Broken(reason), now));
            }
            Err(loss) => return Err(self.record_lost(&lease, loss, now)),
        };
        let (mut parts, body) = response.into_parts();
        let is_unframed = ends_with_connection(&parts.headers, &body);
        let head =
            (self.relay.dialect.parse_response)(&self.request.ask.id, parts.status, &parts.headers);
        self.relay
            .observe_notice(&lease, &head, &connection, now.into_std());
        if !head.not_run && !head.misdirected {
            self.silent.iter_mut().for_each(SilentRun::end);
        }
        let violation = match parts.status {
            _ if head.mismatched => Some("answer to another request"),
            _ if head.encoded => Some("encoded answer"),
            _ if head.misdirected => {
                let now = std::time::Instant::now();
                self.relay.router.mark_leaving(lease.key, now);
                return Err(self.record_declined(&lease, "another target has the address"));
            }
            _ if head.not_run => return Err(self.record_declined(&lease, "declined")),
            StatusCode::OK if head.signed && head.events != Some(false) => None,
            StatusCode::OK if head.signed && self.last_id.is_some() => {
                Some("answer is no event stream")
            }
            StatusCode::OK if head.signed => {
                return Err(self.take_answer(&lease, parts, body).await);
            }
            status if status.is_success() => Some("unsigned answer"),
            status if implies_not_run(status) => Some("refused without a promise"),
            _ => return Err(self.take_answer(&lease, parts, body).await),
        };
        if let Some(reason) = violation {
            return Err(self.record_lost(&lease, Loss::Broken(reason), now));
        }
        self.runs += 1;
        if !self.has_begun() {
            (self.relay.dialect.strip_response)(&mut parts.headers);
            self.head = Some(parts);
        }
        Ok(Upstream {
            lease,
            connection: Some(connection),
            is_unframed,
            body,
            splitter: EventSplitter::default(),
            timeouts,
            progress: RunProgress {
                last_seen: now,
                begun: Some(Instant::now()),
                first_event: None,
                events: 0,
            },
            wait_start: None,
            sequence: Sequence::new(head.events == Some(true)),
            has_survived: false,
        })
    }

    fn expected_prefill(&self, lease: &Lease, from_copy: bool) -> Duration {
        match from_copy {
            true => Duration::ZERO,
            false => {
                let own_prefill = f64::from(self.request.ask.prompt_tokens) / PREFILL_RATE;
                let queue = self.relay.prefill_backlog(lease.key);
                queue.max(Duration::from_secs_f64(own_prefill))
            }
        }
    }

    /// Records an attempt that the engine did not run.
    fn record_declined(&mut self, lease: &Lease, reason: &'static str) -> AttemptError {
        self.declined += 1;
        self.excluded.push(lease.key);
        let name = lease.name();
        let failed = self.request.failed_attempt(&name, reason, Duration::ZERO);
        self.relay.decisions.attempt_failed(&failed);
        AttemptError::Retry
    }

    /// Records an attempt that the engine may have started to run.
    fn record_lost(&mut self, lease: &Lease, loss: Loss, since: Instant) -> AttemptError {
        self.runs += 1;
        let progress = RunProgress {
            last_seen: since,
            begun: None,
            first_event: None,
            events: 0,
        };
        self.exclude(lease, loss, progress);
        match self.end_run(loss) {
            Some(error) => AttemptError::Fatal(error),
            None => AttemptError::Retry,
        }
    }

    /// Handles an answer that is not a stream. It is the caller's as long as no event has been sent
    /// and no other engine may do better.
    async fn take_answer(
        &mut self,
        lease: &Lease,
        mut parts: Parts,
        body: Incoming,
    ) -> AttemptError {
        let may_retry = parts.status.is_server_error()
            && self.request.route.kind.is_repeatable()
            && self.runs + 1 < self.request.route.max_attempts;
        if self.has_begun() || may_retry {
            return self.record_lost(lease, Loss::Broken("engine failed"), Instant::now());
        }
        let left = self.request.left(Instant::now());
        let relay = Arc::clone(&self.relay);
        let is_unframed = ends_with_connection(&parts.headers, &body);
        let body = match timeout(left, relay.buffers.collect(body)).await {
            Ok(Ok(_)) if is_unframed && !relay.has_outlived_answer(lease).await => {
                return self.record_lost(lease, Loss::Broken(GONE_AT_END), Instant::now());
            }
            Ok(Ok(body)) => body,
            Ok(Err(e)) => return self.record_lost(lease, Loss::Broken(e.reason()), Instant::now()),
            Err(_) => return self.record_lost(lease, Loss::DeadlineExceeded, Instant::now()),
        };
        self.runs += 1;
        (self.relay.dialect.strip_response)(&mut parts.headers);
        let body = Body::from(body);
        AttemptError::Fatal(StreamError::Target(Response::from_parts(parts, body)))
    }
}

/// A run that starts from a copy, at the engine that holds it.
fn from_copy(mut copy: RunCopy) -> (Result<Lease, PlaceError>, Option<CopyRef>) {
    copy.lease.start_run();
    (Ok(copy.lease), Some(copy.copied))
}
