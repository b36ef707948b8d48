//! Clients of engines and plain services.

pub mod engine;
pub mod plain;
