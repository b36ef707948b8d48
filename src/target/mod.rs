//! Clients of engines and plain services.

pub mod engine;
