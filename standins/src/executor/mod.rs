//! Executors: targets that run a bounded number of requests.

mod service;

pub(crate) use service::ExecutorService;
