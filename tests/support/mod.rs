//! Test fixtures: start stubs and instances as processes, and call them as a client does.

#![allow(dead_code, reason = "each test file uses a part of these fixtures")]

pub mod caller;
pub mod forwarder;
pub mod process;
pub mod relay;
pub mod returning;
pub mod world;
