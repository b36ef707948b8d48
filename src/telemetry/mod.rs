//! Logs and metrics.

mod line_rate;
mod log;
mod memory;
mod metric;
mod panics;

pub(crate) use line_rate::LineRate;
pub use log::{Guard, logger};
pub(crate) use memory::resident_kb;
pub use metric::{Metrics, Span, Stage};
pub(crate) use panics::log_panics;
