//! `endivefork serve`.

use std::path::PathBuf;

use anyhow::Context as _;
use argh::FromArgs;

use crate::settings::Settings;

/// Serve as an entry instance until SIGTERM, then drain.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "serve")]
pub struct Serve {
    /// settings file
    #[argh(option, short = 'c')]
    config: PathBuf,
}

impl Serve {
    /// Runs the instance.
    ///
    /// # Errors
    /// When the settings are bad or the instance could not start.
    pub fn run(self) -> anyhow::Result<()> {
        let load = move || Settings::read(&self.config);
        let settings = load()?;
        tokio::runtime::Builder::new_multi_thread()
            .enable_all()
            .build()
            .context("could not start the runtime")?
            .block_on(crate::serve::run(settings, load))
    }
}
