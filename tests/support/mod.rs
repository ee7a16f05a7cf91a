//! Fixtures shared by the tests and benchmarks that run whole processes.

#![allow(dead_code, unreachable_pub)] // Each test crate uses only some of the items.

pub mod caller;
pub mod daemons;
pub mod directory;
pub mod log_fields;
pub mod log_follower;
pub mod operator;
pub mod process;
pub mod wait;

/// Text of the example document `neretva.jsonc`.
pub const NERETVA: &str = include_str!("../../examples/neretva.jsonc");
