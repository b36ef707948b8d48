//! Drives moves: exchanges evidence with peers, and stores decisions on the platform.

use std::future::ready;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use slog::{info, warn};
use smol_str::format_smolstr;
use tokio::time::{MissedTickBehavior, interval};

use super::Instance;
use crate::peer::Tag;
use crate::platform::{Error, Expect};
use crate::rollout::{ClusterState, Move, Phase, Proposal, ProposedWrite, Snapshot};

const KIND: &str = "move";

/// Time between decisions.
const TICK: Duration = Duration::from_millis(250);

/// Ticks between exchanges with peers.
const EXCHANGE_TICKS: u64 = 2;

/// Timeout of a message to a peer.
const SEND_TIMEOUT: Duration = Duration::from_millis(400);

impl Instance {
    /// Registers the handler of peers' evidence.
    pub(super) fn handle_evidence(self: &Arc<Self>) {
        let me = Arc::clone(self);
        self.peers
            .on(Tag::Evidence, move |_, snapshots: Vec<Snapshot>| {
                let now = Instant::now();
                snapshots.iter().for_each(|s| me.moves.merge(s, now));
                ready(())
            });
    }

    pub(super) async fn drive_moves(self: Arc<Self>) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut count = 0_u64;
        loop {
            ticks.tick().await;
            count += 1;
            for ended in self.moves.sync(&self.config.view(), Instant::now()) {
                self.log_end(&ended);
            }
            if count.is_multiple_of(EXCHANGE_TICKS) {
                self.send_evidence();
            }
            let proposals = self
                .moves
                .tick(Instant::now(), unix_ms(), &self.cluster_state());
            for proposed in proposals {
                self.store_once(proposed);
            }
        }
    }

    fn cluster_state(&self) -> ClusterState {
        let roster = self.fleet.roster();
        let remaining = roster.entries.values().filter(|e| !e.leaving);
        ClusterState {
            live_instances: remaining.map(|e| e.name.clone()).collect(),
            platform_up: true,
        }
    }

    fn send_evidence(&self) {
        let snapshots = self.moves.snapshots(unix_ms());
        if snapshots.is_empty() {
            return;
        }
        let peers = self.peers.clone();
        tokio::spawn(async move {
            peers
                .call_all::<_, ()>(Tag::Evidence, &snapshots, SEND_TIMEOUT)
                .await
        });
    }

    /// Stores a proposal unless another write for the service is in flight.
    fn store_once(self: &Arc<Self>, proposed: ProposedWrite) {
        if !self.storing.lock().insert(proposed.service.clone()) {
            return;
        }
        let me = Arc::clone(self);
        tokio::spawn(async move {
            let service = proposed.service.clone();
            me.store_proposal(proposed).await;
            me.storing.lock().swap_remove(&service);
        });
    }

    async fn store_proposal(&self, proposed: ProposedWrite) {
        let (Proposal::Advance(mut value) | Proposal::Withdraw(mut value)) = proposed.proposal;
        value.nonce = format_smolstr!("{:032x}", rand::random::<u128>());
        let service = proposed.service.as_str();
        let expect = Expect::Rev(proposed.rev);
        match self.platform.put(KIND, service, &value, expect).await {
            Ok(rev) => {
                let json = serde_json::json!(value);
                self.config.apply(KIND, service, rev, Some(&json));
                info!(self.log, "rollout: stored"; "service" => service, "phase" => ?value.phase,
                    "share" => value.share(), "reason" => value.reason.as_str());
            }
            Err(Error::Conflict(Some(present))) => {
                let (rev, json) = (present.rev, &present.value);
                self.config.apply(KIND, service, rev, Some(json));
            }
            Err(Error::Unknown(_)) => self.read_back(service).await,
            Err(e) => {
                warn!(self.log, "rollout: could not store"; "service" => service, "error" => %e);
                tokio::time::sleep(e.wait().unwrap_or(TICK)).await;
            }
        }
    }

    /// Reads the stored move after a lost answer. It applies whoever wrote it.
    async fn read_back(&self, service: &str) {
        if let Ok(Some(object)) = self.platform.get(KIND, service).await {
            let (rev, json) = (object.rev, &object.value);
            self.config.apply(KIND, service, rev, Some(json));
        }
    }

    fn log_end(&self, ended: &Move) {
        let service = ended.service.as_str();
        let reason = ended.reason.as_str();
        match ended.phase {
            Phase::Done => info!(self.log, "rollout: done"; "service" => service,
                "version" => ended.to.as_str(), "reason" => reason),
            _ => warn!(self.log, "rollout: withdrawn"; "service" => service,
                "version" => ended.to.as_str(), "reason" => reason),
        }
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
