//! Stand-in for the platform's object API and instance list.

#[path = "standin/platform/mod.rs"]
mod platform;

use std::net::SocketAddr;

use argh::FromArgs;
use endivefork::listen::listen;

/// Serve objects and the instance list from memory. Faults are set by POST /control.
#[derive(FromArgs)]
struct Args {
    /// address to listen on
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
    /// faults from the start, as the JSON body of POST /control
    #[argh(option, default = "String::from(\"{}\")")]
    control: String,
    /// number of changes kept for watches
    #[argh(option, default = "10_000")]
    history: usize,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    let options = platform::Options {
        faults: serde_json::from_str(&args.control)?,
        history: args.history,
    };
    let listener = listen(args.listen)?;
    println!("listening {}", listener.local_addr()?);
    platform::serve(listener, options).await?;
    Ok(())
}
