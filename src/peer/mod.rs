//! Typed messages between the system's processes.

mod client;
mod message;
mod seal;
mod server;

pub use client::{Client, PeerError};
pub use message::{Claim, Forward, Heard, Heartbeat, Keyed, PeerReply, PeerRequest, Zone};
pub use server::{Handler, Rejects, Server};
