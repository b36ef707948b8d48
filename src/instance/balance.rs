//! Tasks that keep load views, capacity and the exchange with other instances up to date.

use std::future::ready;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::time::{MissedTickBehavior, interval};

use super::Instance;
use crate::admission::Usage;
use crate::config::View;
use crate::fleet::Entry;
use crate::http::Client;
use crate::ident::RequestKey;
use crate::peer::{Member, Options, PeerKey, Peers, Tag};
use crate::routing::{Poller, Router, Sight, poll};
use crate::settings::Settings;

/// Time between two looks at which targets are to be polled.
const POLL_TICK: Duration = Duration::from_millis(125);

/// Polls at once.
const POLLS_MAX: usize = 64;

/// Time between two exchanges with peers, and two readings of the capacity.
const EXCHANGE_PERIOD: Duration = Duration::from_millis(500);

/// Longest wait for a peer to take what it is told.
const TELL_LIMIT: Duration = Duration::from_millis(400);

impl Instance {
    /// Joins the other instances through `listener`. Must be called within a runtime.
    ///
    /// # Errors
    /// When the listener's address is not known.
    pub fn join(&self, listener: TcpListener) -> io::Result<()> {
        let options = options(&self.settings, listener.local_addr()?);
        let peers = Peers::start(listener, options);
        let (views, router) = (Arc::clone(&self.views), Arc::clone(&self.router));
        peers.on(Tag::Load, move |from, sight: Sight| {
            views.hear(&router, &from, &sight, Instant::now());
            ready(())
        });
        let gate = Arc::clone(&self.gate);
        peers.on(Tag::Usage, move |from, usages: Vec<Usage>| {
            usages.iter().for_each(|usage| gate.merge(&from, usage));
            ready(())
        });
        self.generations.join(&peers);
        let _ = self.peers.set(peers);
        Ok(())
    }

    /// Tells the peer layer who is on the platform's list.
    pub(super) fn list_peers(&self) {
        let Some(peers) = self.peers.get() else {
            return;
        };
        let roster = self.fleet.roster();
        let members: Vec<_> = roster.entries.values().map(member).collect();
        peers.list(&members);
    }

    pub(super) async fn poll_loads(self: Arc<Self>) {
        let client = Client::new();
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
                let (views, router) = (Arc::clone(&self.views), Arc::clone(&self.router));
                let client = client.clone();
                tokio::spawn(async move {
                    let sent = Instant::now();
                    let polled = poll(&client, target.addr).await;
                    views.polled(&router, &target, polled, sent);
                    drop(slot);
                });
            }
        }
    }

    pub(super) async fn share_capacity(self: Arc<Self>) {
        let mut ticks = interval(EXCHANGE_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.measure_capacity();
            self.tell_peers();
        }
    }

    fn measure_capacity(&self) {
        let now = Instant::now();
        let view = self.config.view();
        let roster = self.fleet.roster();
        let staying = roster.entries.values().filter(|e| !e.leaving).count();
        for service in view.services.keys() {
            let slots = slots(&view, &self.router, service, now);
            self.gate.supply(service, slots, staying.max(1));
        }
    }

    /// Tells all peers at once; one that hangs must not hold up the next exchange.
    fn tell_peers(&self) {
        let Some(peers) = self.peers.get().cloned() else {
            return;
        };
        let sight = self.views.sight(&self.router, Instant::now());
        let usages = self.gate.usages();
        tokio::spawn(async move {
            tokio::join!(
                peers.ask_all::<_, ()>(Tag::Load, &sight, TELL_LIMIT),
                peers.ask_all::<_, ()>(Tag::Usage, &usages, TELL_LIMIT),
            );
        });
    }

    fn pollers(&self) -> Vec<Poller> {
        let alive = self.peers.get().map(Peers::alive).unwrap_or_default();
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

fn options(settings: &Settings, addr: SocketAddr) -> Options {
    let me = &settings.instance;
    Options {
        me: Member {
            name: me.name.clone(),
            addr,
            domain: me.domain.clone(),
            region: me.region.clone(),
        },
        key: PeerKey::new(&settings.peers.key.0),
        period: settings.peers.heartbeat,
        seeds: settings.peers.seeds.clone(),
    }
}

fn member(entry: &Entry) -> Member {
    Member {
        name: entry.name.clone(),
        addr: entry.peer,
        domain: entry.domain.clone(),
        region: entry.region.clone(),
    }
}

/// Slots that the service's traffic can use: during a move each version carries its share, and
/// the one that is full first limits the whole.
fn slots(view: &View, router: &Router, service: &str, now: Instant) -> u32 {
    let of = |version: &str| router.supply(service, version, now).slots;
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
