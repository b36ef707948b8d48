//! Process lifecycle of a relay instance, from its settings to its graceful shutdown.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context as _;
use slog::{Logger, error, info};
use tokio::time::timeout;

use super::dialect::Dialect;
use super::front::{self, Front};
use super::platform_watch::{Sources, Topic};
use super::record::DecisionLog;
use super::relay::Relay;
use super::settings::Settings;
use crate::caller::{self, Drain, Signals};
use crate::listen::listen;
use crate::peer::{Layout, Member, Options, PeerKey, Peers};
use crate::platform::{self, ApiFormat};
use crate::settings::Limits;
use crate::telemetry;

/// Timeout for a response of the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between heartbeats to another instance.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of callers' connections; the remaining file descriptors are for targets and
/// peers.
const MAX_CONNECTIONS: usize = 2_000;

/// Multiple of the guaranteed idle time for which a connection is kept, as a change of the rules
/// may prolong the guarantee.
const IDLE_FACTOR: u32 = 4;

/// Header bytes and idle time until the rules are known.
const DEFAULT_LIMITS: (usize, Duration) = (64 * 1024, Duration::from_secs(60));

/// What distinguishes one deployment's platform from another's.
#[derive(Clone, Copy, Debug)]
pub struct Platform {
    /// Format of the object API.
    pub api_format: ApiFormat,
    /// Parsers for its objects.
    pub sources: Sources,
    /// Protocol of callers and targets.
    pub dialect: Dialect,
}

/// Runs an instance until SIGTERM or SIGINT. `load_settings` reads the settings again on SIGHUP.
pub fn main(
    settings: Settings,
    platform: Platform,
    load_settings: impl Fn() -> Result<Settings, String> + Send + 'static,
) -> ExitCode {
    let (log, guard) = telemetry::logger(&settings.log);
    telemetry::log_panics(log.clone());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let run = |runtime: tokio::runtime::Runtime| {
        runtime.block_on(run(settings, platform, log.clone(), load_settings))
    };
    let result = runtime.context("could not start the runtime").and_then(run);
    if let Err(e) = &result {
        error!(log, "relay: failed"; "error" => format!("{e:#}"));
    }
    drop(guard);
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::FAILURE,
    }
}

async fn run(
    settings: Settings,
    platform: Platform,
    log: Logger,
    load_settings: impl Fn() -> Result<Settings, String>,
) -> anyhow::Result<()> {
    let drain = Arc::new(Drain::new(settings.drain_timeout));
    let signals = Signals::new()?;
    info!(log, "relay: started"; "name" => settings.instance.name.as_str(),
        "domain" => settings.instance.domain.as_str());
    let serving = serve(settings, platform, log.clone(), Arc::clone(&drain));
    let begun = |late: Duration| {
        info!(log, "relay: draining"; "requests" => drain.running(),
            "late_ms" => late.as_millis() as u64);
    };
    let handling = signals.handle(&drain, begun, || reload(&log, &load_settings));
    tokio::select! {
        served = serving => served?,
        () = handling => {}
    }
    let requests = drain.running();
    let unanswered = drain.requests().abandon_all("the process ends");
    info!(log, "relay: stopped"; "requests" => requests, "unanswered" => unanswered);
    Ok(())
}

/// Validates the settings again. Addresses and names are fixed for the life of a process, so
/// changes are not applied.
fn reload(log: &Logger, load_settings: &impl Fn() -> Result<Settings, String>) {
    match load_settings() {
        Ok(_) => info!(
            log,
            "relay: settings reloaded; changes take effect at the next start"
        ),
        Err(e) => error!(log, "relay: could not reload the settings"; "error" => e),
    }
}

/// Serves on the configured addresses until `drain` has begun and the last request has ended.
///
/// # Errors
/// If an address cannot be bound.
async fn serve(
    settings: Settings,
    platform: Platform,
    log: Logger,
    drain: Arc<Drain>,
) -> anyhow::Result<()> {
    let bind = |addr| listen(addr).with_context(|| format!("could not listen on {addr}"));
    let callers = bind(settings.front_addr)?;
    let status = bind(settings.status_addr)?;
    let peer = bind(settings.peer_addr)?;
    let identity = &settings.instance;
    let peers = Peers::start(
        peer,
        Options {
            me: Member {
                name: identity.name.clone(),
                addr: settings.peer_addr,
                domain: identity.domain.clone(),
                region: identity.region.clone(),
                capacity: settings.cpu_millicores,
            },
            key: PeerKey::new(&settings.key.0),
            period: HEARTBEAT_INTERVAL,
            seeds: settings.seeds.clone(),
            layout: Layout::Tiered,
        },
    );
    let client = platform::Client::with_format(
        settings.platform_addr,
        PLATFORM_TIMEOUT,
        platform.api_format,
    )
    .with_log(log.clone());
    let record = DecisionLog::new(log.clone());
    let relay = Relay::new(
        settings,
        platform.dialect,
        record,
        client,
        peers,
        Arc::clone(&drain),
    );
    let relay = Arc::new(relay);
    relay.metrics.install();
    let rules = Arc::clone(&relay);
    let in_force = move || rules.rules().map_or(0, |r| r.version);
    drain.requests().report_to(log, in_force);
    spawn_tasks(&relay, platform.sources);
    let front = Front {
        relay: Arc::clone(&relay),
    };
    let router = front::status_router(front.clone());
    let status = tokio::spawn(async move { axum::serve(status, router).await });
    let leave = async {
        drain.begun().await;
        relay.peers.leave();
        std::future::pending::<()>().await;
    };
    let current = Arc::clone(&relay);
    let limits = move || limits(&current);
    tokio::select! {
        () = caller::serve(callers, front::router(front), limits, Arc::clone(&drain)) => {}
        () = leave => {}
    }
    // Lets responses that are written but not yet sent reach the sockets.
    let flushed = async {
        while drain.running() > 0 {
            tokio::task::yield_now().await;
        }
    };
    timeout(Duration::from_millis(50), flushed).await.ok();
    status.abort();
    relay.peers.close();
    Ok(())
}

fn limits(relay: &Relay) -> Limits {
    let rules = relay.rules();
    let known = rules.map(|r| (r.limits.header_bytes, r.limits.idle_timeout * IDLE_FACTOR));
    let (headers, idle) = known.unwrap_or(DEFAULT_LIMITS);
    Limits {
        headers,
        body: 0,
        receive: idle,
        idle,
        connections: MAX_CONNECTIONS,
    }
}

fn spawn_tasks(relay: &Arc<Relay>, sources: Sources) {
    relay.register_handlers(sources);
    tokio::spawn(Arc::clone(relay).watch_platform(sources, Topic::Rules));
    tokio::spawn(Arc::clone(relay).watch_platform(sources, Topic::Targets));
    tokio::spawn(Arc::clone(relay).store_runs());
    tokio::spawn(Arc::clone(relay).store_marks());
    tokio::spawn(Arc::clone(relay).keep_registered());
    tokio::spawn(Arc::clone(relay).gossip(sources));
    tokio::spawn(Arc::clone(relay).send_summaries());
    tokio::spawn(Arc::clone(relay).check_dead_targets());
    tokio::spawn(Arc::clone(relay).watch_limits());
    tokio::spawn(Arc::clone(relay).watch_issuer());
}
