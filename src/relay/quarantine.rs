//! Requests that may crash their targets: what is reported of them, exchanged with other instances
//! and refused.

use std::future::ready;
use std::io::ErrorKind;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use slog::info;
use tokio::time::{sleep, timeout};

use super::caller_request::CallerRequest;
use super::connections::get_request;
use super::limits::Purpose;
use super::local_reply::LocalReply;
use super::relay::Relay;
use crate::ident::fraction;
use crate::peer::Tag;
use crate::quarantine::{Crash, NewQuarantine, PartKey, Phase, Policy, Report, SuspectStatus};
use crate::routing::{Lease, ProbeTarget};

/// Length of a first quarantine.
const FIRST_QUARANTINE: Duration = Duration::from_secs(60);

/// Time between the turns of two instances to try a request whose quarantine is over: time enough
/// for one to tell the others.
const TURN_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two looks whether a probe has found a target dead.
const CONFIRM_PERIOD: Duration = Duration::from_millis(15);

/// Longest time to find out whether a target has crashed.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(600);

/// Timeout for fetching a peer's reports.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Why a request is refused.
pub(crate) const QUARANTINED: &str = "requests like this one crash their targets";

/// How suspects are judged.
pub(crate) fn policy() -> Policy {
    Policy::parts(FIRST_QUARANTINE)
}

/// How far a run was when it was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunStage {
    /// It was queued or in prefill.
    Waiting,
    /// Its answer had just begun.
    Began,
    /// Its answer had gone on for longer than those of requests that crash their targets.
    Outlived,
}

/// A lost run of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LostRun<'a> {
    pub(crate) lease: &'a Lease,
    pub(crate) stage: RunStage,
    /// Whether its target is known to be dead.
    pub(crate) is_dead: bool,
    /// Whether it was the trial of a quarantine that is over.
    pub(crate) trial: bool,
}

/// Whether a request may run.
enum Check {
    Run { trial: bool },
    Wait(Duration),
    Refuse(Duration),
}

impl Relay {
    /// Waits until it is known whether a request may run, at most until its deadline. Returns
    /// whether it is the trial of a quarantine that is over.
    ///
    /// # Errors
    /// The rest of its quarantine.
    pub(crate) async fn admit_suspect(&self, request: &CallerRequest) -> Result<bool, Duration> {
        loop {
            match self.check_suspect(&request.suspect_parts) {
                Check::Run { trial } => return Ok(trial),
                Check::Refuse(left) => return Err(left),
                Check::Wait(wait) => {
                    metrics::counter!("endivefork_suspects_held_total").increment(1);
                    let left = request.left(tokio::time::Instant::now());
                    sleep(wait.min(left)).await;
                    if wait >= left {
                        return Ok(false);
                    }
                }
            }
        }
    }

    /// Whether none of the parts is suspected.
    pub(crate) fn is_clear(&self, parts: &[PartKey]) -> bool {
        let status = self.suspects.lock().status(parts, Instant::now());
        status == SuspectStatus::Clear
    }

    fn check_suspect(&self, parts: &[PartKey]) -> Check {
        let now = Instant::now();
        let mut suspects = self.suspects.lock();
        match suspects.status(parts, now) {
            SuspectStatus::Quarantined(left) => Check::Refuse(left),
            SuspectStatus::Pending(wait) => Check::Wait(wait),
            SuspectStatus::Suspect if suspects.is_trial(parts) => {
                suspects.begin_trial(parts, now);
                self.gossip_wakeup.notify_one();
                Check::Run { trial: true }
            }
            SuspectStatus::Clear | SuspectStatus::Suspect => Check::Run { trial: false },
        }
    }

    /// Response to a quarantined request.
    pub(crate) fn refuse_suspect(&self, left: Duration, has_run: bool) -> LocalReply {
        metrics::counter!("endivefork_quarantine_refusals_total").increment(1);
        match has_run {
            true => LocalReply::lost(QUARANTINED),
            false => LocalReply::unavailable(left, QUARANTINED),
        }
    }

    /// Rest of a request's quarantine.
    pub(crate) fn quarantine_left(&self, parts: &[PartKey]) -> Option<Duration> {
        self.suspects.lock().quarantine_left(parts, Instant::now())
    }

    /// Records that a request was lost as it waited or had just begun, and finds out whether its
    /// target has crashed.
    pub(crate) fn report_loss(self: &Arc<Self>, request: &CallerRequest, run: LostRun<'_>) {
        let phase = match run.stage {
            RunStage::Waiting => Phase::Waiting,
            RunStage::Outlived if !run.trial => return,
            RunStage::Began | RunStage::Outlived => Phase::Began,
        };
        let Some(target) = run.lease.probe_target() else {
            return;
        };
        let crash = Crash {
            target: target.name.clone(),
            phase,
            parts: request.suspect_parts.clone(),
        };
        let at = Instant::now();
        self.suspects.lock().record_loss(&crash, at);
        let (me, id, trial) = (Arc::clone(self), request.ask.id.clone(), run.trial);
        let named = request.ask.prompt_parts.clone();
        let is_dead = run.is_dead;
        tokio::spawn(async move {
            let is_dead = is_dead || me.has_crashed(&target).await;
            let now = Instant::now();
            let mut suspects = me.suspects.lock();
            if !is_dead {
                suspects.retract(&crash, at);
                return;
            }
            suspects.confirm(&crash, at, now);
            // A deadly part may crash its target before its answer arrives.
            if trial {
                suspects.fail_trial(&crash.parts, now);
            }
            drop(suspects);
            metrics::counter!("endivefork_suspect_crashes_total").increment(1);
            if me.decisions.admits_suspect() {
                info!(me.decisions.log, "suspect: target crashed"; "id" => id.as_str(),
                    "target" => target.name.as_str(), "phase" => ?phase,
                    "parts" => named.as_str(), "keys" => ?crash.parts);
            }
            me.judge_suspects(now);
            me.gossip_wakeup.notify_one();
        });
    }

    /// Waits for the probe of a target. One that began before the loss says nothing, so a target
    /// that is found alive is probed once more, and an engine is asked for its report.
    async fn has_crashed(self: &Arc<Self>, target: &ProbeTarget) -> bool {
        let until = Instant::now() + CONFIRM_TIMEOUT;
        for _ in 0..2 {
            self.probes
                .probe(&self.router, &self.decisions, target.clone());
            while self.probes.is_running(target.key) && Instant::now() < until {
                sleep(CONFIRM_PERIOD).await;
            }
            if self.router.is_dead(target.key, Instant::now()) {
                return true;
            }
        }
        let is_gone = self.breaks_connections(target).await;
        if is_gone {
            let log = &self.decisions.log;
            info!(log, "target: takes connections without an answer"; "target" => target.name.as_str());
            self.router.mark_dead(target.key, Instant::now());
        }
        is_gone
    }

    /// Whether an engine's port takes a connection and breaks it off, as behind a forwarder or while
    /// its process starts. One that answers late may be busy, and one that answers anything is alive.
    async fn breaks_connections(self: &Arc<Self>, target: &ProbeTarget) -> bool {
        let is_limited = self.limits.lock().limited_at(target.addr).is_some();
        let may_ask = self.has_engines(&target.service) && !is_limited;
        let request = get_request(target.addr, self.dialect.report_path);
        let Some(request) = request.filter(|_| may_ask) else {
            return false;
        };
        self.record_sent(target.key, Purpose::Probe);
        let head = async {
            let mut connection = self.pool.acquire(target.key, target.addr, None).await?;
            std::io::Result::Ok(connection.send(request).await)
        };
        match timeout(CONFIRM_TIMEOUT, head).await {
            Ok(Ok(answer)) => answer.is_err_and(|e| e.is_cut()),
            Ok(Err(e)) => matches!(
                e.kind(),
                ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset
            ),
            Err(_) => false,
        }
    }

    /// Records that a run began and its target survived.
    pub(crate) fn report_survival(&self, request: &CallerRequest, attempt: u32, trial: bool) {
        let now = Instant::now();
        let run = (fraction(&format!("{} {attempt}", request.ask.id)) * f64::from(u32::MAX)) as u32;
        let mut suspects = self.suspects.lock();
        suspects.record_survival(run, &request.suspect_parts, now);
        if trial {
            suspects.pass_trial(&request.suspect_parts, now);
        }
    }

    /// Quarantines what the evidence shows to be deadly, and ends its runs that have not begun.
    pub(crate) fn judge_suspects(&self, now: Instant) {
        let mut suspects = self.suspects.lock();
        suspects.evaluate(now);
        let new = suspects.take_new();
        let count = suspects.quarantines(now);
        drop(suspects);
        for NewQuarantine { parts, evidence } in &new {
            match evidence {
                Some((crashes, survivals)) => {
                    info!(self.decisions.log, "quarantine: begun"; "keys" => ?parts,
                        "crashes" => crashes, "survivals" => survivals, "in_force" => count);
                }
                None => {
                    info!(self.decisions.log, "quarantine: learned from another instance";
                        "keys" => ?parts, "in_force" => count);
                }
            }
        }
        let known = self.quarantines.swap(count, Ordering::Relaxed);
        if count > known {
            self.quarantined.notify_waiters();
        }
    }

    /// Records the targets that were found dead since the last call, and judges the suspects.
    pub(crate) fn tick_suspects(&self) {
        let now = Instant::now();
        let dead = self.router.found_dead(now);
        let mut known = self.known_dead.lock();
        let mut suspects = self.suspects.lock();
        let instances = self.peers.others() + 1;
        let turn = TURN_INTERVAL.mul_f64(fraction(&self.settings.instance.name) * instances as f64);
        suspects.configure(self.router.targets(), turn);
        for target in dead.iter().filter(|t| !known.contains(&t.key)) {
            let crash = Crash {
                target: target.name.clone(),
                phase: Phase::Waiting,
                parts: Vec::new(),
            };
            suspects.record_crash(&crash, now);
        }
        *known = dead.into_iter().map(|t| t.key).collect();
        suspects.expire(now);
        drop((known, suspects));
        self.judge_suspects(now);
    }

    /// What other instances are to know of suspects.
    pub(crate) fn suspect_reports(&self, full: bool) -> Vec<Report> {
        self.suspects.lock().reports(full, Instant::now())
    }

    /// What an instance is to know of suspects that last acknowledged reports sent at `acked`, if it
    /// did.
    pub(crate) fn suspect_reports_since(&self, acked: Option<Instant>) -> Vec<Report> {
        self.suspects.lock().reports_since(acked, Instant::now())
    }

    /// Applies another instance's reports.
    pub(crate) fn learn_suspects(&self, reports: Vec<Report>) {
        if reports.is_empty() {
            return;
        }
        let now = Instant::now();
        self.suspects.lock().learn(reports, now);
        self.judge_suspects(now);
    }

    /// Registers the handler of requests for all reports.
    pub(crate) fn handle_suspects(self: &Arc<Self>) {
        let me = Arc::clone(self);
        self.peers
            .on(Tag::Suspect, move |_, ()| ready(me.suspect_reports(true)));
    }

    /// Fetches all reports of a peer.
    pub(crate) async fn fetch_suspects(&self, peer: &str) {
        let reports = self
            .peers
            .call::<(), Vec<Report>>(peer, Tag::Suspect, &(), FETCH_TIMEOUT);
        match reports.await {
            Ok(reports) => self.learn_suspects(reports),
            Err(e) => {
                info!(self.decisions.log, "suspects: could not load from a peer";
                    "peer" => peer, "error" => %e);
            }
        }
    }
}
