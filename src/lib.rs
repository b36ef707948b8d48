//! Endivefork serves long generations and plain calls through a fleet of small entry instances.
//!
//! Each module is one subsystem. Decisions are plain functions of state, event and time; the
//! input and output around them lives in the modules that call them.

pub mod action;
pub mod admin;
pub mod admission;
pub mod caller;
pub mod cmd;
pub mod config;
mod connect;
pub mod failure;
pub mod fleet;
pub mod generation;
pub mod http;
pub mod ident;
pub mod instance;
pub mod json;
pub mod listen;
pub mod peer;
pub mod platform;
pub mod quarantine;
pub mod relay;
pub mod rollout;
pub mod routing;
pub mod serve;
pub mod settings;
pub mod setup;
pub mod target;
pub mod telemetry;
