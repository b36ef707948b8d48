//! HTTP clients of targets: engines and plain services.

pub mod engine;
pub mod plain;
