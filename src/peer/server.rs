//! Server that authenticates and handles messages of other processes.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use super::auth::{AuthError, MessageAuth, REPLY_MAC_HEADER, ReplayFilter, unix_ms};
use super::{PeerReply, PeerRequest};
use crate::http::{self, Execution, Problem, Reply, Request, ServerLimits};
use crate::runtime::Runtime;
use crate::secret::FleetSecret;

/// Handles messages of other processes.
pub trait Handler: Send + Sync + 'static {
    /// Handles one message; the future is dropped when the sender disconnects.
    fn handle(&self, message: PeerRequest) -> impl Future<Output = PeerReply> + Send;
}

/// Numbers of rejected messages, by cause.
#[derive(Debug, Default)]
pub struct RejectedMessages {
    /// Not a message, or a truncated one.
    pub malformed: AtomicU64,
    /// Made without the fleet's secret, changed on the way, or sent to another address.
    pub forged: AtomicU64,
    /// Time too far from this process's clock, or before its start.
    pub late: AtomicU64,
    /// Received before.
    pub replayed: AtomicU64,
}

impl RejectedMessages {
    fn count(&self, error: AuthError) {
        let counter = match error {
            AuthError::Malformed => &self.malformed,
            AuthError::Forged => &self.forged,
            AuthError::Late => &self.late,
            AuthError::Replayed => &self.replayed,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// A running server for messages of other processes; stops accepting when dropped.
#[derive(Debug)]
pub struct Server {
    server: http::Server,
    rejects: Arc<RejectedMessages>,
}

impl Server {
    /// Listens on `address`; with port 0 the kernel chooses the port.
    ///
    /// # Errors
    /// Fails if the address can't be bound.
    pub fn bind(
        address: SocketAddr,
        runtime: &Runtime,
        secret: FleetSecret,
        limits: ServerLimits,
        handler: impl Handler,
    ) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind(address)?;
        let rejects = Arc::new(RejectedMessages::default());
        let authenticated = AuthenticatedHandler {
            address: listener.local_addr()?,
            secret,
            replay_filter: ReplayFilter::new(unix_ms()),
            rejects: Arc::clone(&rejects),
            handler,
        };
        let server = http::Server::listen(listener, runtime, limits, authenticated)?;
        Ok(Self { server, rejects })
    }

    /// Address that the server listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Numbers of messages rejected so far.
    #[must_use]
    pub fn rejects(&self) -> &RejectedMessages {
        &self.rejects
    }
}

/// Passes authentic messages to the handler and rejects all others.
struct AuthenticatedHandler<H> {
    address: SocketAddr,
    secret: FleetSecret,
    replay_filter: ReplayFilter,
    rejects: Arc<RejectedMessages>,
    handler: H,
}

impl<H: Handler> http::Handler for AuthenticatedHandler<H> {
    async fn handle(&self, request: Request, caller: SocketAddr) -> Reply {
        let (auth, message) = match self.authenticate(&request) {
            Ok(accepted) => accepted,
            Err(error) => {
                self.rejects.count(error);
                spdlog::debug!("peer_message_rejected", kv: { caller:?, error:? });
                return refusal(error);
            }
        };
        drop(request);
        let reply = self.handler.handle(message).await;
        let body = rmp_serde::to_vec(&reply).unwrap_or_default();
        let mac = auth.reply_mac(&self.secret, &body);
        Reply {
            status: 200,
            headers: vec![(REPLY_MAC_HEADER.to_owned(), mac)],
            body,
        }
    }
}

impl<H> AuthenticatedHandler<H> {
    fn authenticate(&self, request: &Request) -> Result<(MessageAuth, PeerRequest), AuthError> {
        if request.method != "POST" || request.path != "/peer" {
            return Err(AuthError::Malformed);
        }
        let auth = MessageAuth::verify(&self.secret, self.address, request)?;
        let message = rmp_serde::from_slice(&request.body).map_err(|_| AuthError::Malformed)?;
        self.replay_filter.check(auth, unix_ms())?;
        Ok((auth, message))
    }
}

fn refusal(error: AuthError) -> Reply {
    let (status, detail) = match error {
        AuthError::Malformed => (400, "not a message"),
        AuthError::Forged => (401, "code does not fit"),
        AuthError::Late => (403, "time out of bounds"),
        AuthError::Replayed => (409, "message seen before"),
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
