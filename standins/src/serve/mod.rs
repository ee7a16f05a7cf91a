//! HTTP/1.1 server whose listener and connections apply injected faults.

mod accept;
mod connection;
mod listener;
mod malformed;
mod message;

pub(crate) use accept::spawn_server;
pub(crate) use listener::Listener;
pub(crate) use message::{Call, Reply};

/// Handles the requests of one site.
pub(crate) trait Service: Send + Sync + 'static {
    /// Handles one request. The future is dropped if the site goes down.
    fn answer(&self, call: Call) -> impl Future<Output = Reply> + Send;
}
