//! Log lines, metrics and the admin address.

pub mod admin;
pub mod log;
pub mod metrics;
mod pair;
mod sink;
#[cfg(test)]
mod tests;
mod throttle;
mod view;

pub use admin::{Admin, Dump, Process};
pub use metrics::Metrics;
