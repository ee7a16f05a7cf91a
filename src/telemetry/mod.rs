//! Logging, metrics and the admin server.

pub mod admin;
pub mod log;
pub mod metrics;
mod pair;
mod registry;
#[cfg(test)]
mod tests;
mod throttle;
mod view;

pub use admin::{Admin, DaemonStatus, ProcessInfo};
pub use metrics::Metrics;
