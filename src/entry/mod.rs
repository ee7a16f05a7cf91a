//! Callers side: accepts requests, queues them and sends them to targets.
