//! What instances tell each other about targets and accounts, and the polls behind it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;

use super::Instance;
use crate::admission::Usage;
use crate::fleet::Target;
use crate::peer::{Member, Tag};
use crate::routing::{Poller, Sight, poll};

/// Time between two looks for targets that are due to be polled.
const POLL_TICK: Duration = Duration::from_millis(250);

/// Time between two messages to peers.
const TELL_PERIOD: Duration = Duration::from_millis(500);

/// Longest wait for a peer to take a message.
const TELL_LIMIT: Duration = Duration::from_millis(400);

impl Instance {
    /// Answers what peers tell.
    pub(super) fn listen_to_peers(self: &Arc<Self>) {
        let me = Arc::clone(self);
        self.peers.on(Tag::Load, move |from, sight: Sight| {
            me.hear_sight(&from, &sight);
            std::future::ready(())
        });
        let me = Arc::clone(self);
        self.peers.on(Tag::Usage, move |from, usages: Vec<Usage>| {
            for usage in &usages {
                me.gate.merge(&from, usage);
            }
            std::future::ready(())
        });
    }

    fn hear_sight(&self, from: &str, sight: &Sight) {
        self.views.hear(&self.router, from, sight, Instant::now());
        let leaving = sight.loads.iter().filter(|l| l.leaving);
        let names = leaving.map(|l| &l.target).chain(&sight.word.leaving);
        for name in names {
            self.fleet.mark_leaving(name);
        }
    }

    /// Polls the targets whose loads this instance looks after.
    pub(super) async fn poll_targets(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(POLL_TICK);
        loop {
            ticks.tick().await;
            let pollers: Vec<_> = self.peers.alive().iter().map(poller).collect();
            let roster = self.fleet.roster();
            let due = self.views.due(&roster.targets, &pollers, Instant::now());
            for target in due {
                tokio::spawn(Arc::clone(&self).poll_target(target));
            }
        }
    }

    async fn poll_target(self: Arc<Self>, target: Target) {
        let sent = Instant::now();
        let polled = poll(&self.client, target.addr).await;
        self.views.polled(&self.router, &target, polled, sent);
        if polled.leaving() {
            self.fleet.mark_leaving(&target.name);
        }
    }

    /// Tells peers of loads and of the accounts' use, and the gate of the supply.
    pub(super) async fn tell_peers(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(TELL_PERIOD);
        loop {
            ticks.tick().await;
            self.update_supply();
            let sight = self.views.sight(&self.router, Instant::now());
            let usages = self.gate.usages();
            let this = &self;
            let calls = self.peers.alive().into_iter().map(|peer| {
                let (sight, usages) = (&sight, &usages);
                async move {
                    let _ = this
                        .peers
                        .call::<_, ()>(&peer.name, Tag::Load, sight, TELL_LIMIT)
                        .await;
                    let _ = this
                        .peers
                        .call::<_, ()>(&peer.name, Tag::Usage, usages, TELL_LIMIT)
                        .await;
                }
            });
            join_all(calls).await;
        }
    }

    fn update_supply(&self) {
        let members = self.peers.alive().len() + 1;
        for service in self.config.view().services.keys() {
            let supply = self.router.supply(service, Instant::now());
            self.gate.supply(service, supply.slots, members);
        }
    }
}

fn poller(member: &Member) -> Poller {
    Poller {
        name: member.name.clone(),
        domain: member.domain.clone(),
    }
}
