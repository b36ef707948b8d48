//! Logs and metrics.

mod log;
mod metric;
mod panics;

pub use log::{Guard, logger};
pub use metric::{Metrics, Span, Stage};
pub(crate) use panics::log_panics;
