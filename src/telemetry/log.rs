//! The root logger. By custom a message begins with its part's name (`"fleet: …"`).

use std::io;

use slog::{Drain, Logger, o};

use crate::settings::{Log, LogFormat};

/// Records kept while the writer is slow; further ones are counted and dropped.
const QUEUE_RECORDS: usize = 4096;

/// Writes what is queued when it is dropped; keep it until the process ends.
#[must_use]
pub struct Guard {
    _queue: slog_async::AsyncGuard,
}

impl std::fmt::Debug for Guard {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Guard")
    }
}

/// The root logger, which writes from its own thread: lines for a person to standard error, JSON to
/// standard output.
pub fn logger(settings: &Log) -> (Logger, Guard) {
    match settings.format {
        LogFormat::Human => {
            let decorator = slog_term::PlainDecorator::new(io::stderr());
            let drain = slog_term::FullFormat::new(decorator)
                .use_utc_timestamp()
                .build();
            queue(drain.ignore_res(), settings.level)
        }
        LogFormat::Json => {
            let drain = slog_json::Json::new(io::stdout())
                .add_default_keys()
                .build();
            queue(drain.ignore_res(), settings.level)
        }
    }
}

fn queue<D>(drain: D, level: slog::Level) -> (Logger, Guard)
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let (queue, guard) = slog_async::Async::new(drain)
        .chan_size(QUEUE_RECORDS)
        .thread_name("log".into())
        .build_with_guard();
    let drain = queue.filter_level(level).fuse();
    (Logger::root(drain, o!()), Guard { _queue: guard })
}
