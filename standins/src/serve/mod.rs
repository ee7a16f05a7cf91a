//! HTTP/1.1 server whose listener and connections obey faults.

mod accept;
mod connection;
mod message;
mod port;
mod wrong;

pub(crate) use accept::spawn;
pub(crate) use message::{Call, Reply};
pub(crate) use port::Port;

/// Answers the calls of one site.
pub(crate) trait Service: Send + Sync + 'static {
    /// Answers one call; dropped when the site goes down.
    fn answer(&self, call: Call) -> impl Future<Output = Reply> + Send;
}
