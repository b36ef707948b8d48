//! All generations of one instance.

use std::sync::{Arc, Weak};
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use smol_str::SmolStr;
use tokio::time::Instant;

use super::drive::Driver;
use super::hooks::Hooks;
use super::pace::Pace;
use super::run::{Reader, Run, Start};
use crate::failure::Failure;
use crate::http::Client;
use crate::ident::RequestKey;

/// Number of shards, each under its own lock.
const SHARDS: usize = 16;

/// How long an ended generation is kept for a caller that returns.
const KEEP: Duration = Duration::from_secs(60);

/// How long a generation that nobody reads goes on.
const ORPHAN: Duration = Duration::from_secs(30);

/// Time between two sweeps.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

type Shard = Mutex<IndexMap<RequestKey, Arc<Run>>>;

/// What all generations of an instance share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) hooks: Hooks,
    pub(crate) client: Client,
    shards: [Shard; SHARDS],
    paces: Mutex<IndexMap<SmolStr, Arc<Mutex<Pace>>>>,
}

impl Shared {
    /// Pace of a target.
    pub(crate) fn pace(&self, target: &SmolStr) -> Arc<Mutex<Pace>> {
        Arc::clone(self.paces.lock().entry(target.clone()).or_default())
    }

    fn shard(&self, key: RequestKey) -> &Shard {
        &self.shards[key.0 as usize % SHARDS]
    }
}

/// All generations of one instance.
#[derive(Clone, Debug)]
pub struct Generations {
    shared: Arc<Shared>,
}

impl Generations {
    /// No generations yet. Must be called within a runtime.
    #[must_use]
    pub fn new(hooks: Hooks, client: Client) -> Self {
        let shared = Arc::new(Shared {
            hooks,
            client,
            shards: Default::default(),
            paces: Mutex::default(),
        });
        tokio::spawn(sweep(Arc::downgrade(&shared)));
        Self { shared }
    }

    /// Starts a generation, or finds the one that runs under the same key. `from` is the last
    /// token that the caller has.
    ///
    /// # Errors
    /// When the key belongs to another body, or the tokens before `from` are not known.
    pub async fn open(&self, start: Start, from: Option<u64>) -> Result<Reader, Failure> {
        let next = from.map_or(0, |last| last + 1);
        let mut shard = self.shared.shard(start.key).lock();
        match shard.get(&start.key) {
            Some(run) if run.start.body_digest != start.body_digest => Err(Failure::not_run(
                422,
                "key_reused",
                "the key belongs to another request",
            )),
            Some(run) if !(run.failed() && next == 0) => Ok(run.read(next)),
            _ if next > 0 => Err(Failure::failed(
                410,
                "generation_unknown",
                "the generation to go on with is not known",
            )),
            old => {
                let epoch = old.map_or(1, |old| old.epoch + 1);
                let run = Run::new(start, epoch, Vec::new());
                let reader = run.read(0);
                shard.insert(run.start.key, Arc::clone(&run));
                tokio::spawn(Driver::new(run, Arc::clone(&self.shared)).drive());
                Ok(reader)
            }
        }
    }

    /// Number of generations that run.
    #[must_use]
    pub fn running(&self) -> usize {
        let shards = self.shared.shards.iter();
        shards
            .map(|s| s.lock().values().filter(|r| !r.ended()).count())
            .sum()
    }
}

async fn sweep(shared: Weak<Shared>) {
    loop {
        tokio::time::sleep(SWEEP_PERIOD).await;
        let Some(shared) = shared.upgrade() else {
            return;
        };
        let now = Instant::now();
        for shard in &shared.shards {
            shard.lock().retain(|_, run| keep(run, now));
        }
    }
}

fn keep(run: &Run, now: Instant) -> bool {
    let Some(idle) = run.idle_since() else {
        return true;
    };
    let idle = now - idle;
    if !run.ended() && idle > ORPHAN {
        run.stop.cancel();
        return false;
    }
    idle < KEEP
}
