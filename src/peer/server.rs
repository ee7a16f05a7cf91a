//! Receives messages of other processes.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use super::seal::{REPLY_MAC, Replays, Seal, SealError, wall_ms};
use super::{PeerReply, PeerRequest};
use crate::http::{self, Execution, Problem, Reply, Request, ServerLimits};
use crate::runtime::Runtime;
use crate::secret::FleetSecret;

/// Answers messages of other processes.
pub trait Handler: Send + Sync + 'static {
    /// Answers one message; dropped when the sender leaves.
    fn handle(&self, message: PeerRequest) -> impl Future<Output = PeerReply> + Send;
}

/// Messages that were not believed, by cause.
#[derive(Debug, Default)]
pub struct Rejects {
    /// No message at all, or cut in itself.
    pub malformed: AtomicU64,
    /// Not made with the fleet's secret, or changed, or meant for another process.
    pub forged: AtomicU64,
    /// Out of the bound on time.
    pub late: AtomicU64,
    /// Seen before.
    pub replayed: AtomicU64,
}

impl Rejects {
    fn count(&self, error: SealError) {
        let counter = match error {
            SealError::Malformed => &self.malformed,
            SealError::Forged => &self.forged,
            SealError::Late => &self.late,
            SealError::Replayed => &self.replayed,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// A running server for other processes; it stops accepting when dropped.
#[derive(Debug)]
pub struct Server {
    server: http::Server,
    rejects: Arc<Rejects>,
}

impl Server {
    /// Listens on `address`; port 0 lets the kernel choose.
    ///
    /// # Errors
    /// Fails when the address can't be bound.
    pub fn bind(
        address: SocketAddr,
        runtime: &Runtime,
        secret: FleetSecret,
        limits: ServerLimits,
        handler: impl Handler,
    ) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind(address)?;
        let rejects = Arc::new(Rejects::default());
        let gate = Gate {
            address: listener.local_addr()?,
            secret,
            replays: Replays::new(wall_ms()),
            rejects: Arc::clone(&rejects),
            handler,
        };
        let server = http::Server::listen(listener, runtime, limits, gate)?;
        Ok(Self { server, rejects })
    }

    /// Address that it listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Messages that were not believed so far.
    #[must_use]
    pub fn rejects(&self) -> &Rejects {
        &self.rejects
    }
}

struct Gate<H> {
    address: SocketAddr,
    secret: FleetSecret,
    replays: Replays,
    rejects: Arc<Rejects>,
    handler: H,
}

impl<H: Handler> http::Handler for Gate<H> {
    async fn handle(&self, request: Request, caller: SocketAddr) -> Reply {
        let (seal, message) = match self.open(&request) {
            Ok(opened) => opened,
            Err(error) => {
                self.rejects.count(error);
                spdlog::debug!("peer_message_rejected", kv: { caller:?, error:? });
                return refusal(error);
            }
        };
        drop(request);
        let reply = self.handler.handle(message).await;
        let body = rmp_serde::to_vec(&reply).unwrap_or_default();
        let mac = seal.reply_mac(&self.secret, &body);
        Reply {
            status: 200,
            headers: vec![(REPLY_MAC.to_owned(), mac)],
            body,
        }
    }
}

impl<H> Gate<H> {
    fn open(&self, request: &Request) -> Result<(Seal, PeerRequest), SealError> {
        if request.method != "POST" || request.path != "/peer" {
            return Err(SealError::Malformed);
        }
        let seal = Seal::open(&self.secret, self.address, request)?;
        let message = rmp_serde::from_slice(&request.body).map_err(|_| SealError::Malformed)?;
        self.replays.admit(seal, wall_ms())?;
        Ok((seal, message))
    }
}

fn refusal(error: SealError) -> Reply {
    let (status, detail) = match error {
        SealError::Malformed => (400, "not a message"),
        SealError::Forged => (401, "code does not fit"),
        SealError::Late => (403, "time out of bounds"),
        SealError::Replayed => (409, "message seen before"),
    };
    let problem = Problem {
        status,
        title: "message not accepted",
        detail,
        outcome: Execution::NotRun,
        request: None,
    };
    problem.reply()
}
