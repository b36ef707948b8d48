//! Stand-in for a plain service: reads, and an action that it counts.

#[path = "standin/plain/mod.rs"]
mod plain;

use std::net::SocketAddr;

use argh::FromArgs;
use endivefork::listen::listen;

/// Serve reads and a counted action. Faults are set by POST /control.
#[derive(FromArgs)]
struct Args {
    /// address to listen on
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
    /// version that the load report names
    #[argh(option, default = "String::from(\"v1\")")]
    version: String,
    /// faults from the start, as the JSON body of POST /control
    #[argh(option, default = "String::from(\"{}\")")]
    control: String,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    let options = plain::Options {
        version: args.version,
        faults: serde_json::from_str(&args.control)?,
    };
    let listener = listen(args.listen)?;
    println!("listening {}", listener.local_addr()?);
    plain::serve(listener, options).await?;
    Ok(())
}
