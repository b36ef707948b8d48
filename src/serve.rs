//! Runs one entry instance from its settings to its graceful shutdown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context as _;
use slog::{Logger, error, info, warn};
use tokio::net::TcpListener;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::admin;
use crate::caller::{self, Drain, Front, Signals};
use crate::instance::Instance;
use crate::listen::listen;
use crate::settings::{Findings, Settings};
use crate::telemetry;

/// Longest wait for operators' requests that are open when those of callers have ended.
const OPERATOR_WAIT: Duration = Duration::from_secs(10);

/// The listeners of an instance.
#[derive(Debug)]
pub struct Listeners {
    /// For callers.
    pub caller: TcpListener,
    /// For operators.
    pub admin: TcpListener,
    /// For other instances.
    pub peer: TcpListener,
}

impl Listeners {
    /// Binds the addresses of the settings.
    ///
    /// # Errors
    /// When an address cannot be bound.
    pub fn bind(settings: &Settings) -> anyhow::Result<Self> {
        let listen = settings.listen;
        Ok(Self {
            caller: bind("caller", listen.caller)?,
            admin: bind("admin", listen.admin)?,
            peer: bind("peer", listen.peer)?,
        })
    }

    /// One line that names the bound addresses.
    ///
    /// # Errors
    /// When the system does not know an address.
    pub fn banner(&self) -> anyhow::Result<String> {
        Ok(format!(
            "listening caller {} admin {} peer {}",
            self.caller.local_addr()?,
            self.admin.local_addr()?,
            self.peer.local_addr()?,
        ))
    }
}

fn bind(name: &str, addr: SocketAddr) -> anyhow::Result<TcpListener> {
    listen(addr).with_context(|| format!("could not listen on {addr} for [listen] {name}"))
}

/// Serves until SIGTERM or SIGINT and then drains. `load_settings` reads the settings again on SIGHUP.
///
/// # Errors
/// When an address cannot be bound or signals cannot be received.
pub async fn run(
    settings: Settings,
    load_settings: impl Fn() -> Result<Settings, Findings>,
) -> anyhow::Result<()> {
    let (log, _guard) = telemetry::logger(&settings.log);
    telemetry::log_panics(log.clone());
    let drain = Arc::new(Drain::new(settings.drain));
    let signals = Signals::new()?;
    let listeners = Listeners::bind(&settings)?;
    println!("{}", listeners.banner()?);
    info!(log, "serve: started"; "name" => settings.instance.name.as_str());
    let serving = serve(settings, log.clone(), listeners, Arc::clone(&drain));
    let begun =
        |late: Duration| info!(log, "serve: draining"; "late_ms" => late.as_millis() as u64);
    let handling = signals.handle(&drain, begun, || reload(&log, &load_settings));
    tokio::select! {
        () = serving => {}
        () = handling => {}
    }
    let unanswered = drain.requests().abandon_all("the process ends");
    info!(log, "serve: stopped"; "unanswered" => unanswered);
    Ok(())
}

/// Validates the settings again. They are fixed for the life of a process, so changes are not applied.
fn reload(log: &Logger, load_settings: &impl Fn() -> Result<Settings, Findings>) {
    match load_settings() {
        Ok(_) => info!(
            log,
            "serve: settings reloaded; changes take effect at the next start"
        ),
        Err(e) => error!(log, "serve: could not reload the settings"; "error" => %e),
    }
}

/// Serves on `listeners` until `drain` has begun and the last request has ended. Must be called
/// within a runtime.
pub async fn serve(settings: Settings, log: Logger, listeners: Listeners, drain: Arc<Drain>) {
    let instance = Arc::new(Instance::new(settings, log.clone(), listeners.peer));
    let config = Arc::clone(&instance.config);
    drain.requests().report_to(log, move || config.view().rev);
    instance.metrics.install();
    instance.start();
    let parts = admin::context(&instance, &drain);
    let closed = CancellationToken::new();
    let (ended, clock) = (closed.clone(), Arc::clone(&drain));
    let closing = async move {
        tokio::select! {
            () = ended.cancelled() => {}
            () = clock.expiring() => {}
        }
    };
    let mut administration = tokio::spawn(admin::serve(listeners.admin, parts, closing));
    let limits = instance.settings.limits;
    let front = Front {
        instance: Arc::clone(&instance),
        drain: Arc::clone(&drain),
    };
    let router = caller::router(front);
    let clock = Arc::clone(&drain);
    instance.actions.set_end(move || clock.expires());
    let leave = async {
        drain.begun().await;
        instance.peers.leave();
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = caller::serve(listeners.caller, router, move || limits, Arc::clone(&drain)) => {}
        () = leave => {}
    }
    // Actions whose callers went away still have their outcomes to store.
    let left = drain.left().unwrap_or_default();
    timeout(left, instance.actions.wait_idle()).await.ok();
    closed.cancel();
    let left = drain.left().unwrap_or_default().min(OPERATOR_WAIT);
    if timeout(left, &mut administration).await.is_err() {
        warn!(instance.log, "serve: requests of operators are cut off");
        administration.abort();
    }
    instance.peers.close();
}
