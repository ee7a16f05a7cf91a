//! HTTP/1.1 server whose listener and connections obey faults.

mod accept;
mod connection;
mod listener;
mod malformed;
mod message;

pub(crate) use accept::spawn_server;
pub(crate) use listener::Listener;
pub(crate) use message::{Call, Reply};

/// Answers the calls of one site.
pub(crate) trait Service: Send + Sync + 'static {
    /// Answers one call; dropped when the site goes down.
    fn answer(&self, call: Call) -> impl Future<Output = Reply> + Send;
}
