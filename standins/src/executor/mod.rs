//! Executors: targets that run a limited number of requests at once.

mod service;

pub(crate) use service::ExecutorService;
