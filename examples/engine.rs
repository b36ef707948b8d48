//! A model engine's stand-in as a program. See docs/interfaces.md.

#[allow(dead_code, reason = "other programs use the rest")]
#[path = "standin/engine/mod.rs"]
mod engine;

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Context as _;
use argh::FromArgs;
use endivefork::listen::listen;

use self::engine::options::{Crash, Options};

/// A stand-in for a model engine.
#[derive(Debug, FromArgs)]
struct Args {
    /// address to listen on
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
    /// name of the engine
    #[argh(option, default = "String::from(\"engine-1\")")]
    name: String,
    /// service that it belongs to
    #[argh(option, default = "String::from(\"llm\")")]
    service: String,
    /// version that it has loaded
    #[argh(option, default = "String::from(\"v1\")")]
    version: String,
    /// attempts that run at once
    #[argh(option, default = "32")]
    slots: usize,
    /// milliseconds between tokens; may be a fraction
    #[argh(option, default = "10.0")]
    token_ms: f64,
    /// microseconds to compute one prompt token
    #[argh(option, default = "20")]
    prefill_us_per_token: u64,
    /// blocks of 64 bytes in the prefix cache
    #[argh(option, default = "4096")]
    cache_blocks: usize,
    /// age of a load report
    #[argh(option, default = "2000")]
    load_lag_ms: u64,
    /// age of a published cache event
    #[argh(option, default = "1000")]
    event_lag_ms: u64,
    /// every n-th cache event is lost
    #[argh(option, default = "17")]
    event_gap: u64,
    /// obey orders whatever their fencing number
    #[argh(switch)]
    ignore_fence: bool,
    /// time to load a model, adapter or version
    #[argh(option, default = "200")]
    load_ms: u64,
    /// how long an attempt goes on when nobody reads it
    #[argh(option, default = "15000")]
    unread_ms: u64,
    /// list of faults as JSON
    #[argh(option, default = "String::from(\"[]\")")]
    faults: String,
}

impl Args {
    fn options(self) -> anyhow::Result<Options> {
        Ok(Options {
            name: self.name,
            service: self.service,
            version: self.version,
            slots: self.slots,
            token: Duration::from_secs_f64(self.token_ms / 1e3),
            prefill: Duration::from_micros(self.prefill_us_per_token),
            cache: self.cache_blocks,
            lag: Duration::from_millis(self.load_lag_ms),
            event_lag: Duration::from_millis(self.event_lag_ms),
            event_gap: self.event_gap,
            fencing: !self.ignore_fence,
            load: Duration::from_millis(self.load_ms),
            unread: Duration::from_millis(self.unread_ms),
            faults: serde_json::from_str(&self.faults).context("could not read --faults")?,
            crash: Crash::Abort,
        })
    }
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    let listener =
        listen(args.listen).with_context(|| format!("could not listen on {}", args.listen))?;
    println!("listening {}", listener.local_addr()?);
    engine::serve(listener, args.options()?).await?;
    Ok(())
}
