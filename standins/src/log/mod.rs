//! Log service: named append-only streams with offsets and retention.

mod rate_limiter;
mod service;
mod stream;
#[cfg(test)]
mod tests;

pub(crate) use service::LogService;
