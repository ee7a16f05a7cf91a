//! Fleet capacity and maintenance manager.
//!
//! Callers send requests to entries, which queue them and forward them to targets. Operators
//! change the fleet by publishing sections of one capacity document to the platform's log.

pub mod config;
pub mod control;
pub mod dev;
pub mod dispatch;
pub mod document;
pub mod entry;
pub mod finding;
pub mod http;
pub mod id;
pub(crate) mod jsonc;
pub mod ledger;
pub mod membership;
pub mod outcome;
pub mod peer;
pub mod planner;
pub mod runtime;
pub mod scheduler;
pub mod secret;
pub mod services;
pub mod telemetry;
pub mod view;
