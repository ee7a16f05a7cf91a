//! Which processes are alive and which of them owns a queue.
