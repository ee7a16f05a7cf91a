//! Members: who is alive, and who owns a queue.

mod rank;
mod roster;
