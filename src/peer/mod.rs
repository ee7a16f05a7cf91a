//! Typed messages between the system's processes.

mod client;
mod message;
mod seal;
mod server;

pub use client::{Client, PeerError};
pub use message::{
    DataCentreSummary, Forward, Heartbeat, IdempotencyKey, KeyStatus, LastHeard, PeerReply,
    PeerRequest,
};
pub use server::{Handler, RejectedMessages, Server};
