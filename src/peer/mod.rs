//! Typed, authenticated messages between the processes of a fleet.

mod auth;
mod client;
mod message;
mod server;

pub use client::{Client, PeerError};
pub use message::{
    DataCentreSummary, Forward, Heartbeat, IdempotencyKey, KeyStatus, LastHeard, PeerReply,
    PeerRequest,
};
pub use server::{Handler, RejectedMessages, Server};
