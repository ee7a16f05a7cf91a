//! Fixtures shared by the tests of whole processes.

#![allow(dead_code, unreachable_pub)] // Each test crate uses a part of it.

pub mod caller;
pub mod daemons;
pub mod directory;
pub mod log_fields;
pub mod log_follower;
pub mod operator;
pub mod process;
pub mod wait;

/// Example document that the tests run.
pub const NERETVA: &str = include_str!("../../examples/neretva.jsonc");
