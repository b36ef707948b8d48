//! `endivefork init`.

use std::fs::OpenOptions;
use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::Context as _;
use argh::FromArgs;

use crate::setup::{Answers, File, ask, generate};

/// Answer questions about workloads, deadlines and risk; write commented settings, a services
/// file and new keys.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "init")]
pub(crate) struct Init {
    /// file of answers; asked one by one when left out
    #[argh(option)]
    answers: Option<PathBuf>,

    /// directory to write to
    #[argh(option, default = "PathBuf::from(\"conf\")")]
    out: PathBuf,

    /// replace files that are there, and with them their keys
    #[argh(switch)]
    force: bool,
}

impl Init {
    pub(crate) fn run(self) -> anyhow::Result<ExitCode> {
        let (answers, given) = match &self.answers {
            Some(file) => (Answers::read(file)?, None),
            None => {
                let text = ask(std::io::stdin().lock(), std::io::stderr())
                    .context("could not read the answers")?;
                (Answers::parse(&text)?, Some(text))
            }
        };
        let mut files = generate(&answers);
        files.extend(given.map(|text| File {
            name: "answers.ini".into(),
            text,
            secret: false,
        }));
        std::fs::create_dir_all(&self.out)
            .with_context(|| format!("could not create {}", self.out.display()))?;
        if !self.force {
            refuse_present(&self.out, &files)?;
        }
        for file in &files {
            let path = self.out.join(file.name.as_str());
            write(&path, file).with_context(|| format!("could not write {}", path.display()))?;
            println!("{}", path.display());
        }
        Ok(ExitCode::SUCCESS)
    }
}

fn refuse_present(out: &Path, files: &[File]) -> anyhow::Result<()> {
    let paths = files.iter().map(|file| out.join(file.name.as_str()));
    match paths.into_iter().find(|path| path.exists()) {
        Some(path) => anyhow::bail!("{} is there already; --force replaces it", path.display()),
        None => Ok(()),
    }
}

/// Writes a new file beside the old one, so that an old file's readers are not kept.
fn write(path: &Path, file: &File) -> std::io::Result<()> {
    let part = path.with_extension("part");
    match std::fs::remove_file(&part) {
        Err(error) if error.kind() != std::io::ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    let mut options = OpenOptions::new();
    options.write(true).create_new(true);
    #[cfg(unix)]
    std::os::unix::fs::OpenOptionsExt::mode(&mut options, if file.secret { 0o600 } else { 0o644 });
    options.open(&part)?.write_all(file.text.as_bytes())?;
    std::fs::rename(&part, path)
}
