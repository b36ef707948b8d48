//! Harness of the review's scripts: real processes of the deploy file's program, the project's own
//! stand-ins of the store and of replicas, and a record of what was sent, answered and run.

#![allow(dead_code, missing_debug_implementations, unreachable_pub)]

#[path = "../../../platform/tests/support/mod.rs"]
pub mod support;

pub mod harness;
pub mod engines;
