//! Log lines and a counter for panics.

use std::panic;

use slog::{Logger, error};

/// Logs and counts every panic of the process, in addition to what is printed by default.
pub(crate) fn log_panics(log: Logger) {
    let default = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        metrics::counter!("endivefork_panics_total").increment(1);
        let location = info.location().map(ToString::to_string);
        let message = info.payload_as_str().unwrap_or_default();
        error!(log, "process: a task panicked";
            "error" => message, "at" => location.unwrap_or_default());
        default(info);
    }));
}
