//! Orders with fencing numbers.

use std::time::Duration;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use super::options::Options;

/// Body of `POST /v1/orders`.
#[derive(Clone, Debug, Deserialize)]
pub struct Request {
    /// Fencing number.
    pub fence: u64,
    /// What to do.
    pub order: Order,
}

/// An order.
#[derive(Clone, Debug, Deserialize)]
pub struct Order {
    /// Operation.
    pub op: Op,
    /// What it is about.
    #[serde(default)]
    pub name: String,
}

/// Operation of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Op {
    /// Loads a model.
    LoadModel,
    /// Loads an adapter.
    LoadAdapter,
    /// Loads a version.
    LoadVersion,
    /// Unloads a version.
    UnloadVersion,
    /// Changes the role.
    Role,
}

/// Answer of `GET /v1/state`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct State {
    /// Name of the engine.
    pub name: String,
    /// Service that it belongs to.
    pub service: String,
    /// Loaded models.
    pub models: Vec<String>,
    /// Loaded adapters.
    pub adapters: Vec<String>,
    /// Loaded versions.
    pub versions: Vec<String>,
    /// Role.
    pub role: String,
    /// Highest fencing number seen.
    pub fence: u64,
    /// Orders obeyed with an older number than one seen before.
    pub stale: u64,
}

/// Loaded state and the turn at the weight store.
#[derive(Debug)]
pub struct Orders {
    /// What is loaded.
    pub state: Mutex<State>,
    store: tokio::sync::Mutex<()>,
    load: Duration,
    checked: bool,
}

impl Orders {
    /// With the first version loaded.
    pub fn new(opts: &Options) -> Self {
        let state = State {
            name: opts.name.clone(),
            service: opts.service.clone(),
            versions: vec![opts.version.clone()],
            role: "serve".into(),
            ..State::default()
        };
        Self {
            state: Mutex::new(state),
            store: tokio::sync::Mutex::new(()),
            load: opts.load,
            checked: opts.fencing,
        }
    }

    /// Obeys an order, or returns the highest fencing number that refuses it.
    pub async fn obey(&self, request: Request) -> Result<(), u64> {
        self.check(request.fence)?;
        let loads = !matches!(request.order.op, Op::UnloadVersion | Op::Role);
        if loads {
            let turn = self.store.lock().await;
            tokio::time::sleep(self.load).await;
            drop(turn);
            self.check(request.fence)?;
        }
        self.apply(request.order);
        Ok(())
    }

    fn check(&self, fence: u64) -> Result<(), u64> {
        let mut state = self.state.lock();
        match fence < state.fence {
            true if self.checked => return Err(state.fence),
            true => state.stale += 1,
            false => state.fence = fence,
        }
        Ok(())
    }

    fn apply(&self, order: Order) {
        let mut state = self.state.lock();
        let list = match order.op {
            Op::LoadModel => &mut state.models,
            Op::LoadAdapter => &mut state.adapters,
            Op::LoadVersion => &mut state.versions,
            Op::UnloadVersion => return state.versions.retain(|v| *v != order.name),
            Op::Role => return state.role = order.name,
        };
        if !list.contains(&order.name) {
            list.push(order.name);
        }
    }
}
