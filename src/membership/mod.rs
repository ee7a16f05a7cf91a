//! Which processes are alive and which of them owns a queue.

mod peers;
mod rank;
mod roster;
mod zones;

pub use peers::{NoPeers, Peers, SilentPeers};
pub use rank::rank;
pub use roster::{Roster, SUSPECT_MS};
