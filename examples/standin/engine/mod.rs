//! A stand-in for a model engine: the engine API of docs/interfaces.md, with faults.

pub mod batch;
pub mod cache;
pub mod fault;
pub mod link;
pub mod options;
pub mod order;
pub mod route;
pub mod token;

use std::io;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use self::batch::Batch;
use self::fault::Control;
use self::link::{Link, Listener};
use self::options::{Crash, Options};
use self::order::Orders;

/// One engine.
#[derive(Debug)]
pub struct Engine {
    opts: Options,
    batch: Mutex<Batch>,
    orders: Orders,
    link: Arc<Link>,
    thaw: watch::Sender<Option<Instant>>,
    work: Notify,
}

impl Engine {
    /// An idle engine.
    #[must_use]
    pub fn new(opts: Options) -> Arc<Self> {
        Arc::new(Self {
            batch: Mutex::new(Batch::new(opts.clone())),
            orders: Orders::new(&opts),
            link: Arc::new(Link::default()),
            thaw: watch::Sender::new(None),
            work: Notify::new(),
            opts,
        })
    }

    /// Sets faults, as `POST /control` does.
    pub fn control(&self, control: Control) {
        let mut batch = self.batch.lock();
        if let Some(part) = control.crash_on {
            batch.crash_on.push((part, control.crash_at));
        }
        batch.leaving = control.leaving.unwrap_or(batch.leaving);
        batch.refuse = control.refuse.unwrap_or(batch.refuse);
        if let Some(faults) = control.faults {
            batch.faults = faults;
        }
        drop(batch);
        if let Some(ms) = control.freeze_ms {
            self.thaw
                .send_replace(Some(Instant::now() + Duration::from_millis(ms)));
        }
        if let Some(ms) = control.close_ms {
            self.link.close(Duration::from_millis(ms));
        }
        if control.silent {
            self.link.silence();
        }
        if control.crash {
            self.crash();
        }
    }

    /// Whether it has crashed by [`Crash::Reset`].
    #[allow(dead_code, reason = "used by tests")]
    pub fn crashed(&self) -> bool {
        self.link.dead.is_cancelled()
    }

    /// No prompt crashes it any more.
    #[allow(dead_code, reason = "used by tests")]
    pub fn heal(&self) {
        self.batch.lock().crash_on.clear();
    }

    /// Log of what happened.
    pub fn log(&self) -> batch::Log {
        self.batch.lock().log.clone()
    }

    /// Number of attempts that run.
    #[allow(dead_code, reason = "for engines that share a process with their user")]
    pub fn running(&self) -> usize {
        self.batch.lock().running().count()
    }

    /// Prompts of the attempts that run.
    #[allow(dead_code, reason = "for engines that share a process with their user")]
    pub fn prompts(&self) -> Vec<String> {
        let batch = self.batch.lock();
        batch.running().map(|a| a.start.prompt.clone()).collect()
    }

    /// Waits while the engine is frozen.
    async fn thawed(&self) {
        loop {
            let until = *self.thaw.borrow();
            match until {
                Some(until) if until > Instant::now() => tokio::time::sleep_until(until).await,
                _ => return,
            }
        }
    }

    fn crash(&self) {
        match self.opts.crash {
            Crash::Abort => std::process::abort(),
            Crash::Reset => self.link.dead.cancel(),
        }
    }

    async fn generate(&self) {
        while !self.link.dead.is_cancelled() {
            self.thawed().await;
            let next = self.batch.lock().step(Instant::now());
            let Some(next) = next else {
                self.crash();
                return;
            };
            tokio::select! {
                () = tokio::time::sleep_until(next) => {}
                () = self.work.notified() => {}
            }
        }
    }
}

/// Serves `engine` until it crashes.
///
/// # Errors
/// When the listening socket fails.
pub async fn run(listener: TcpListener, engine: Arc<Engine>) -> io::Result<()> {
    let listener = Listener::new(listener, Arc::clone(&engine.link))?;
    let router = route::router(Arc::clone(&engine));
    let generator = Arc::clone(&engine);
    tokio::select! {
        served = async { axum::serve(listener, router).await } => served,
        () = generator.generate() => Ok(()),
        () = engine.link.dead.cancelled() => Ok(()),
    }
}

/// Serves a new engine until it crashes.
///
/// # Errors
/// When the listening socket fails.
pub async fn serve(listener: TcpListener, opts: Options) -> io::Result<()> {
    run(listener, Engine::new(opts)).await
}
