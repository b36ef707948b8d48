//! Load views: which targets this instance polls, what it learns, and what it tells its peers.
//!
//! A target is polled by few instances of its failure domain, chosen by rendezvous hashing; the
//! others hear from them. When nobody tells anything of a target, each instance polls it itself.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::Method;
use indexmap::IndexMap;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::load::Report;
use super::router::Router;
use super::word::Word;
use crate::fleet::Target;
use crate::http::{Client, Error, Via, request};
use crate::ident::{TargetKey, digest, rendezvous};

/// Instances that poll one target.
const POLLERS: usize = 2;

/// Time between two polls of a target.
const PERIOD: Duration = Duration::from_millis(500);

/// Silence about a target after which an instance polls it itself.
const STALE: Duration = Duration::from_millis(2_500);

/// Longest wait for an answer on a connection that was used before.
const POOL_LIMIT: Duration = Duration::from_millis(400);

/// Longest wait for an answer on a new connection.
const FRESH_LIMIT: Duration = Duration::from_secs(1);

/// Polls without an answer in a row after which a target counts as dead.
const SILENT_MAX: u32 = 3;

/// Another instance that may poll targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Poller {
    /// Name.
    pub name: SmolStr,
    /// Failure domain.
    pub domain: SmolStr,
}

/// One target's load, as told to peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// Name of the target.
    pub target: SmolStr,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// Age of the figures in milliseconds.
    pub age_ms: u32,
    /// Milliseconds since the target answered.
    pub polled_ms: u32,
    /// The target's own word that it is leaving.
    pub leaving: bool,
}

/// What an instance tells its peers of targets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sight {
    /// Its own requests and evidence.
    pub word: Word,
    /// Loads that it polled.
    pub loads: Vec<TargetLoad>,
}

/// Body of a target's load report.
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

/// What came of a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Polled {
    /// A report.
    Load(Report),
    /// An answer without a report.
    Alive,
    /// The connection was refused.
    Refused,
    /// No answer.
    Silent,
}

impl Polled {
    /// Whether the target itself said that it leaves.
    #[must_use]
    pub fn leaving(self) -> bool {
        matches!(self, Self::Load(report) if report.leaving)
    }
}

/// What is known of the targets' loads, apart from the router's estimate.
#[derive(Debug)]
pub struct Views {
    me: Poller,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    peers: Vec<Poller>,
    views: IndexMap<SmolStr, View>,
}

#[derive(Clone, Debug)]
struct View {
    key: TargetKey,
    /// Whether this instance is one of the few that poll it; `None` until decided.
    mine: Option<bool>,
    polled: Option<Instant>,
    heard: Instant,
    own: Option<(Report, Instant)>,
    silent: u32,
}

impl Views {
    /// Views of nothing, of the instance `me`.
    #[must_use]
    pub fn new(me: Poller) -> Self {
        Self {
            me,
            state: Mutex::default(),
        }
    }

    /// The targets to poll at `now`, given the `peers` that answer. Marks them as polled.
    pub fn due(&self, targets: &[Target], peers: &[Poller], now: Instant) -> Vec<Target> {
        let mut state = self.state.lock();
        if state.peers != peers {
            state.peers = peers.to_vec();
            state.views.values_mut().for_each(|view| view.mine = None);
        }
        let mut old = std::mem::take(&mut state.views);
        let mut due = Vec::new();
        for target in targets.iter().filter(|t| !t.leaving) {
            let known = old.swap_remove(&target.name);
            let mut view = match known.filter(|view| view.key == target.key) {
                Some(view) if view.mine.is_some() => view,
                Some(view) => self.assign(view, target, peers),
                None => self.assign(View::new(target.key, now), target, peers),
            };
            if view.due(now) {
                view.polled = Some(now);
                due.push(target.clone());
            }
            state.views.insert(target.name.clone(), view);
        }
        due
    }

    /// Takes what came of a poll sent at `sent`, and passes it on to the router.
    pub fn polled(&self, router: &Router, target: &Target, polled: Polled, sent: Instant) {
        let now = Instant::now();
        let mut state = self.state.lock();
        let view = state.views.get_mut(&target.name);
        let Some(view) = view.filter(|view| view.key == target.key) else {
            return;
        };
        view.silent = match polled {
            Polled::Silent => view.silent + 1,
            _ => 0,
        };
        match polled {
            Polled::Load(report) => {
                view.own = Some((report, now));
                view.heard = now;
                router.mark_alive(target.key, sent);
                router.report(target.key, report, now);
            }
            Polled::Alive => router.mark_alive(target.key, sent),
            Polled::Refused => router.mark_dead(target.key, now),
            Polled::Silent if view.silent >= SILENT_MAX => router.mark_dead(target.key, now),
            Polled::Silent => router.mark_suspect(target.key, now),
        }
    }

    /// What this instance tells its peers.
    #[must_use]
    pub fn sight(&self, router: &Router, now: Instant) -> Sight {
        let state = self.state.lock();
        let fresh = state.views.iter().filter_map(|(name, view)| {
            let (report, at) = view.own.filter(|(_, at)| *at + STALE > now)?;
            Some((name, report, now.saturating_duration_since(at)))
        });
        let loads = fresh.map(|(name, report, since)| TargetLoad {
            target: name.clone(),
            running: report.running,
            queued: report.queued,
            slots: report.slots,
            age_ms: (since + report.age).as_millis() as u32,
            polled_ms: since.as_millis() as u32,
            leaving: report.leaving,
        });
        Sight {
            loads: loads.collect(),
            word: router.word(now),
        }
    }

    /// Takes what the peer `origin` tells, and passes it on to the router.
    pub fn hear(&self, router: &Router, origin: &str, sight: &Sight, now: Instant) {
        router.peer_word(origin, &sight.word, now);
        let mut state = self.state.lock();
        for load in &sight.loads {
            let Some(view) = state.views.get_mut(&load.target) else {
                continue;
            };
            let report = Report {
                running: load.running,
                queued: load.queued,
                slots: load.slots,
                age: Duration::from_millis(load.age_ms.into()),
                leaving: load.leaving,
            };
            view.heard = now;
            let answered = Duration::from_millis(load.polled_ms.into());
            router.vouch(view.key, now.checked_sub(answered).unwrap_or(now));
            router.report(view.key, report, now);
        }
    }

    /// Decides anew whether this instance is one of the few that poll `target`.
    fn assign(&self, mut view: View, target: &Target, peers: &[Poller]) -> View {
        let all = || peers.iter().chain([&self.me]);
        let near = all().any(|p| p.domain == target.domain);
        let names = all()
            .filter(|p| !near || p.domain == target.domain)
            .map(|p| p.name.as_str());
        let ranked = rendezvous(digest(&[&target.name]), names);
        let mine = ranked.iter().take(POLLERS).any(|n| *n == self.me.name);
        view.mine = Some(mine);
        view
    }
}

impl View {
    fn new(key: TargetKey, now: Instant) -> Self {
        Self {
            key,
            mine: None,
            polled: None,
            heard: now,
            own: None,
            silent: 0,
        }
    }

    fn due(&self, now: Instant) -> bool {
        let rested = self.polled.is_none_or(|at| at + PERIOD <= now);
        rested && (self.mine == Some(true) || self.heard + STALE <= now)
    }
}

/// Asks a target for its load. A connection that was used before may have gone silent, so only a
/// new one counts as evidence.
pub async fn poll(client: &Client, addr: SocketAddr) -> Polled {
    match ask(client, addr, Via::Pool, POOL_LIMIT).await {
        Ok(polled) => polled,
        Err(_) => match ask(client, addr, Via::Fresh, FRESH_LIMIT).await {
            Ok(polled) => polled,
            Err(Error::Connect(_)) => Polled::Refused,
            Err(_) => Polled::Silent,
        },
    }
}

async fn ask(
    client: &Client,
    addr: SocketAddr,
    via: Via,
    limit: Duration,
) -> Result<Polled, Error> {
    let url = format!("http://{addr}/v1/load");
    let answer = client
        .send(via, request(Method::GET, &url, ""), limit)
        .await?;
    Ok(match answer.json::<Body>() {
        Ok(body) if answer.status.is_success() => Polled::Load(Report {
            running: body.running,
            queued: body.queued,
            slots: body.slots,
            age: Duration::from_millis(body.age_ms),
            leaving: body.leaving,
        }),
        _ => Polled::Alive,
    })
}
