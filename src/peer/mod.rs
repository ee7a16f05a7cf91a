//! Typed messages between the system's processes.

mod message;

pub use message::{Forward, Heartbeat, PeerReply, PeerRequest};
