//! Starts stand-ins and instances as processes, and reads answers as a caller does.

#![allow(dead_code, reason = "each test file uses a part of these fixtures")]

pub mod caller;
pub mod process;
pub mod relay;
pub mod returning;
pub mod world;
