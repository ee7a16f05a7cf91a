//! Members: who is alive, and who owns a queue.

mod failure_detector;
mod rank;
