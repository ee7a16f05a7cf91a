//! HTTP/1.1 client and server with strict limits, on top of the async-h1 codec.

mod chunked;
mod client;
mod codec;
mod connection;
mod connection_table;
mod deadline;
mod exchange;
mod head;
mod message;
mod pool;
mod problem;
mod server;
mod stream;

pub use client::{ClientLimits, SendError, send};
pub use exchange::UNACKNOWLEDGED_LIMIT_MS;
pub use message::{Reply, Request};
pub use pool::{ConnectionPool, Failure, FailureKind, Reuse};
pub use problem::{Execution, Problem};
pub use server::{Handler, Server, ServerLimits};

pub(crate) use deadline::timeout;
pub(crate) use server::ConnectionCount;
