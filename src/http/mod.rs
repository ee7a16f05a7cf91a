//! HTTP/1.1 messages with strict bounds around the codec library.

mod client;
mod message;
mod server;

pub use client::{Limits, SendError, send};
pub use message::{Reply, Request};
pub use server::{Handler, Server, ServerLimits};
