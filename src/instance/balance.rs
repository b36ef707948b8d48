//! Background tasks that poll targets for load, update capacity, and exchange both with peers.

use std::future::ready;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::Semaphore;
use tokio::time::{MissedTickBehavior, interval};

use super::Instance;
use crate::admission::Usage;
use crate::config::View;
use crate::fleet::{Entry, Target};
use crate::ident::RequestKey;
use crate::peer::{Member, Tag};
use crate::routing::{PeerView, Poller, Router, poll};
use crate::settings::Settings;

/// Time between checks for targets that are due for a poll.
const POLL_TICK: Duration = Duration::from_millis(125);

/// Limit of concurrent polls.
const POLLS_MAX: usize = 64;

/// Time between exchanges with peers, and between updates of the capacity.
const EXCHANGE_PERIOD: Duration = Duration::from_millis(500);

/// Timeout of a message to a peer.
const SEND_TIMEOUT: Duration = Duration::from_millis(400);

impl Instance {
    /// Registers the handlers of peers' load views and account usage.
    pub(super) fn handle_loads(self: &Arc<Self>) {
        let me = Arc::clone(self);
        self.peers.on(Tag::Load, move |from, view: PeerView| {
            me.apply_peer_view(&from, &view);
            ready(())
        });
        let me = Arc::clone(self);
        self.peers.on(Tag::Usage, move |from, usages: Vec<Usage>| {
            usages.iter().for_each(|usage| me.gate.merge(&from, usage));
            ready(())
        });
    }

    fn apply_peer_view(&self, from: &str, view: &PeerView) {
        self.views
            .apply_peer_view(&self.router, from, view, Instant::now());
        let loads = view.loads.iter().filter(|l| l.leaving);
        let departures = view.peer_report.leaving.iter().map(|d| &d.target);
        let leaving = loads.map(|l| &l.target).chain(departures);
        for name in leaving {
            self.fleet.mark_leaving(name);
        }
    }

    /// Passes the platform's list of entry instances to the peer layer.
    pub(super) fn list_peers(&self) {
        let roster = self.fleet.roster();
        let members: Vec<_> = roster.entries.values().map(member).collect();
        self.peers.list(&members);
    }

    pub(super) async fn poll_loads(self: Arc<Self>) {
        let slots = Arc::new(Semaphore::new(POLLS_MAX));
        let mut ticks = interval(POLL_TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let roster = self.fleet.roster();
            let due = self
                .views
                .due(&roster.targets, &self.pollers(), Instant::now());
            for target in due {
                let Ok(slot) = Arc::clone(&slots).acquire_owned().await else {
                    return;
                };
                let me = Arc::clone(&self);
                tokio::spawn(async move {
                    me.poll_load(&target).await;
                    drop(slot);
                });
            }
        }
    }

    async fn poll_load(&self, target: &Target) {
        let sent = Instant::now();
        let polled = poll(&self.client, target.addr).await;
        self.views.record_poll(&self.router, target, polled, sent);
        if polled.leaving() {
            self.fleet.mark_leaving(&target.name);
        }
    }

    pub(super) async fn share_capacity(self: Arc<Self>) {
        let mut ticks = interval(EXCHANGE_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.measure_capacity();
            self.send_loads();
        }
    }

    pub(super) fn measure_capacity(&self) {
        let now = Instant::now();
        let view = self.config.view();
        let roster = self.fleet.roster();
        let remaining = roster.entries.values().filter(|e| !e.leaving).count();
        for service in view.services.keys() {
            let slots = slots(&view, &self.router, service, now);
            self.gate.set_capacity(service, slots, remaining.max(1));
        }
    }

    /// Sends to all peers in a task of its own, so that an unresponsive peer does not delay the
    /// next exchange.
    fn send_loads(&self) {
        let peers = self.peers.clone();
        let view = self.views.peer_view(&self.router, Instant::now());
        let usages = self.gate.usages();
        tokio::spawn(async move {
            tokio::join!(
                peers.call_all::<_, ()>(Tag::Load, &view, SEND_TIMEOUT),
                peers.call_all::<_, ()>(Tag::Usage, &usages, SEND_TIMEOUT),
            );
        });
    }

    fn pollers(&self) -> Vec<Poller> {
        let alive = self.peers.alive();
        alive
            .into_iter()
            .map(|member| Poller {
                name: member.name,
                domain: member.domain,
            })
            .collect()
    }
}

/// This instance as a poller of loads.
pub(super) fn poller(settings: &Settings) -> Poller {
    Poller {
        name: settings.instance.name.clone(),
        domain: settings.instance.domain.clone(),
    }
}

fn member(entry: &Entry) -> Member {
    Member {
        name: entry.name.clone(),
        addr: entry.peer,
        domain: entry.domain.clone(),
        region: entry.region.clone(),
        capacity: 0,
    }
}

/// Slots available to the service's traffic. During a move each version serves its share, and the
/// version that fills up first limits the total.
fn slots(view: &View, router: &Router, service: &str, now: Instant) -> u32 {
    let of = |version: &str| router.serving_capacity(service, version, now).slots;
    let moving = view.moves.get(service).map(|m| &m.value);
    match moving.filter(|m| !m.phase.is_final()) {
        Some(m) => {
            let share = m.share();
            let carried = |slots: u32, share: f64| match slots {
                0 => f64::INFINITY,
                slots => f64::from(slots) / share,
            };
            let limit = carried(of(&m.from), 1.0 - share).min(carried(of(&m.to), share));
            let all = of(&m.from) + of(&m.to);
            limit.min(f64::from(all)) as u32
        }
        None => view
            .version_for(service, RequestKey(0))
            .map_or(0, |version| of(version)),
    }
}
