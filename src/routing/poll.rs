//! Load polling: which targets this instance polls, the loads that it obtains, and the view that it
//! sends to its peers.
//!
//! A target is polled by a few instances of its failure domain, chosen by rendezvous hashing, which
//! forward its load to the others. When no load of a target arrives, each instance polls it itself.
//! The loads go to the router; no request waits for a poll.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::Method;
use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::load::LoadReport;
use super::peer_report::PeerReport;
use super::router::Router;
use crate::fleet::Target;
use crate::http::{Client, Error, Via, request};
use crate::ident::{TargetKey, digest, rendezvous};

/// Number of instances that poll one target.
const POLLERS: usize = 2;

/// Interval between two polls of a target.
const POLL_PERIOD: Duration = Duration::from_millis(500);

/// Age from which a load is no longer sent to peers, and time without any load after which an
/// instance polls the target itself.
const LOAD_TTL: Duration = Duration::from_millis(2_500);

/// Timeout of a poll on a pooled connection.
const POOLED_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of a poll on a new connection.
const FRESH_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of unanswered polls in a row from which a target counts as dead.
const MISSED_MAX: u32 = 3;

/// Another instance that may poll targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Poller {
    /// Name.
    pub name: SmolStr,
    /// Failure domain.
    pub domain: SmolStr,
}

/// One target's load, as sent to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// Name of the target.
    pub target: SmolStr,
    /// Running requests.
    pub running: u32,
    /// Waiting requests.
    pub queued: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// Age of the figures in milliseconds.
    pub age_ms: u32,
    /// Milliseconds since the target answered the poll.
    pub answered_ms: u32,
    /// Whether the target reported that it is leaving.
    pub leaving: bool,
}

/// An instance's view of the targets, as sent to its peers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerView {
    /// Its own requests and observations.
    pub peer_report: PeerReport,
    /// Loads that it polled itself.
    pub loads: Vec<TargetLoad>,
}

/// Body of a target's answer to a poll.
#[derive(Clone, Copy, Debug, Deserialize)]
struct Body {
    running: u32,
    #[serde(default)]
    queued: u32,
    #[serde(default)]
    slots: u32,
    #[serde(default)]
    leaving: bool,
    #[serde(default)]
    age_ms: u64,
}

/// Outcome of a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollOutcome {
    /// The target answered with a load report.
    Load(LoadReport),
    /// The target answered without a load report.
    Alive,
    /// The connection was refused.
    Refused,
    /// There was no valid answer in time.
    NoAnswer,
}

impl PollOutcome {
    /// Whether the target itself reported that it is leaving.
    #[must_use]
    pub fn leaving(self) -> bool {
        matches!(self, Self::Load(report) if report.leaving)
    }
}

/// The targets' loads as polled and as received from peers; the router makes its estimates from
/// them.
#[derive(Debug)]
pub struct LoadViews {
    me: Poller,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    peers: Vec<Poller>,
    views: IndexMap<SmolStr, TargetView>,
}

#[derive(Clone, Debug)]
struct TargetView {
    key: TargetKey,
    /// Whether this instance is one of the [`POLLERS`] that poll it; `None` until decided.
    assigned: Option<bool>,
    last_poll: Option<Instant>,
    last_load: Instant,
    own_load: Option<(LoadReport, Instant)>,
    missed: u32,
}

impl LoadViews {
    /// Views of the instance `me`, without targets.
    #[must_use]
    pub fn new(me: Poller) -> Self {
        Self {
            me,
            state: Mutex::default(),
        }
    }

    /// The targets to poll at `now`, given the reachable `peers`. Marks them as polled.
    pub fn due(&self, targets: &[Target], peers: &[Poller], now: Instant) -> Vec<Target> {
        let mut state = self.state.lock();
        if state.peers != peers {
            state.peers = peers.to_vec();
            state
                .views
                .values_mut()
                .for_each(|view| view.assigned = None);
        }
        let mut old = std::mem::take(&mut state.views);
        let mut due = Vec::new();
        for target in targets.iter().filter(|t| !t.leaving) {
            let known = old.swap_remove(&target.name);
            let mut view = match known.filter(|view| view.key == target.key) {
                Some(view) if view.assigned.is_some() => view,
                Some(view) => self.assign(view, target, peers),
                None => self.assign(TargetView::new(target.key, now), target, peers),
            };
            if view.due(now) {
                view.last_poll = Some(now);
                due.push(target.clone());
            }
            state.views.insert(target.name.clone(), view);
        }
        due
    }

    /// Records the outcome of a poll sent at `sent` and forwards it to the router.
    pub fn record_poll(
        &self,
        router: &Router,
        target: &Target,
        outcome: PollOutcome,
        sent: Instant,
    ) {
        let now = Instant::now();
        let mut state = self.state.lock();
        let view = state.views.get_mut(&target.name);
        let Some(view) = view.filter(|view| view.key == target.key) else {
            return;
        };
        view.missed = match outcome {
            PollOutcome::NoAnswer => view.missed + 1,
            _ => 0,
        };
        match outcome {
            PollOutcome::Load(report) => {
                view.own_load = Some((report, now));
                view.last_load = now;
                router.mark_alive(target.key, sent);
                router.apply_load_report(target.key, report, now);
            }
            PollOutcome::Alive => router.mark_alive(target.key, sent),
            PollOutcome::Refused => router.mark_dead(target.key, now),
            PollOutcome::NoAnswer if view.missed >= MISSED_MAX => router.mark_dead(target.key, now),
            PollOutcome::NoAnswer => router.mark_suspect(target.key, now),
        }
    }

    /// The view that this instance sends to its peers.
    #[must_use]
    pub fn peer_view(&self, router: &Router, now: Instant) -> PeerView {
        let state = self.state.lock();
        let fresh = state.views.iter().filter_map(|(name, view)| {
            let (report, at) = view.own_load.filter(|(_, at)| *at + LOAD_TTL > now)?;
            Some((name, report, now.saturating_duration_since(at)))
        });
        let loads = fresh.map(|(name, report, since)| TargetLoad {
            target: name.clone(),
            running: report.running,
            queued: report.queued,
            slots: report.slots,
            age_ms: (since + report.age).as_millis() as u32,
            answered_ms: since.as_millis() as u32,
            leaving: report.leaving,
        });
        PeerView {
            loads: loads.collect(),
            peer_report: router.peer_report(now),
        }
    }

    /// Applies the view of the peer `origin` and forwards it to the router.
    pub fn apply_peer_view(
        &self,
        router: &Router,
        origin: &str,
        peer_view: &PeerView,
        now: Instant,
    ) {
        router.apply_peer_report(origin, &peer_view.peer_report, now);
        let mut state = self.state.lock();
        for load in &peer_view.loads {
            let Some(view) = state.views.get_mut(&load.target) else {
                continue;
            };
            let report = LoadReport {
                running: load.running,
                queued: load.queued,
                slots: load.slots,
                age: Duration::from_millis(load.age_ms.into()),
                leaving: load.leaving,
            };
            view.last_load = now;
            let answered = Duration::from_millis(load.answered_ms.into());
            router.confirm_alive(view.key, now.checked_sub(answered).unwrap_or(now));
            router.apply_load_report(view.key, report, now);
        }
    }

    /// Decides again whether this instance is one of the [`POLLERS`] that poll `target`.
    fn assign(&self, mut view: TargetView, target: &Target, peers: &[Poller]) -> TargetView {
        let all = || peers.iter().chain([&self.me]);
        let in_domain = all().any(|p| p.domain == target.domain);
        let names = all()
            .filter(|p| !in_domain || p.domain == target.domain)
            .map(|p| p.name.as_str());
        let ranked = rendezvous(digest(&[&target.name]), names);
        let assigned = ranked.iter().take(POLLERS).any(|n| *n == self.me.name);
        view.assigned = Some(assigned);
        view
    }
}

impl TargetView {
    fn new(key: TargetKey, now: Instant) -> Self {
        Self {
            key,
            assigned: None,
            last_poll: None,
            last_load: now,
            own_load: None,
            missed: 0,
        }
    }

    fn due(&self, now: Instant) -> bool {
        let interval_over = self.last_poll.is_none_or(|at| at + POLL_PERIOD <= now);
        interval_over && (self.assigned == Some(true) || self.last_load + LOAD_TTL <= now)
    }
}

/// Polls a target for its load. A pooled connection may be stale, so a failure on it is no evidence
/// against the target: the poll is repeated on a new connection.
pub async fn poll(client: &Client, addr: SocketAddr) -> PollOutcome {
    match fetch_load(client, addr, Via::Pool, POOLED_TIMEOUT).await {
        Ok(polled) => polled,
        Err(_) => match fetch_load(client, addr, Via::Fresh, FRESH_TIMEOUT).await {
            Ok(polled) => polled,
            Err(Error::Connect(_)) => PollOutcome::Refused,
            Err(_) => PollOutcome::NoAnswer,
        },
    }
}

async fn fetch_load(
    client: &Client,
    addr: SocketAddr,
    via: Via,
    timeout: Duration,
) -> Result<PollOutcome, Error> {
    let url = format!("http://{addr}/v1/load");
    let answer = client
        .send(via, request(Method::GET, &url, ""), timeout)
        .await?;
    Ok(match answer.json::<Body>() {
        Ok(body) if answer.status.is_success() => PollOutcome::Load(LoadReport {
            running: body.running,
            queued: body.queued,
            slots: body.slots,
            age: Duration::from_millis(body.age_ms),
            leaving: body.leaving,
        }),
        _ => PollOutcome::Alive,
    })
}
