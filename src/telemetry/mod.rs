//! Logs and metrics.

mod log;
mod metric;

pub use log::{Guard, logger};
pub use metric::{Metrics, Span, Stage};
