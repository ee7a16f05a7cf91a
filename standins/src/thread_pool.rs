//! Threads that the stand-ins run on.

use std::future::Future;
use std::sync::{Arc, Weak};
use std::thread::{self, JoinHandle};

use anyhow::{Context, Result};
use async_channel::Sender;
use async_executor::Executor;
use futures_lite::future::block_on;

/// Running threads; dropping them ends every task.
#[derive(Debug)]
pub(crate) struct ThreadPool {
    executor: Arc<Executor<'static>>,
    stop: Option<Sender<()>>,
    handles: Vec<JoinHandle<()>>,
}

impl ThreadPool {
    /// Starts `count` threads.
    pub(crate) fn open(count: usize) -> Result<Self> {
        let executor = Arc::new(Executor::new());
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let mut handles = Vec::with_capacity(count);
        for i in 0..count.max(1) {
            let executor = Arc::clone(&executor);
            let stopped = stopped.clone();
            let handle = thread::Builder::new()
                .name(format!("standin-{i}"))
                .spawn(move || {
                    let _ = block_on(executor.run(stopped.recv()));
                })
                .context("start a thread")?;
            handles.push(handle);
        }
        Ok(Self {
            executor,
            stop: Some(stop),
            handles,
        })
    }

    /// A handle that spawns tasks without keeping the threads alive.
    pub(crate) fn spawner(&self) -> Spawner {
        Spawner(Arc::downgrade(&self.executor))
    }
}

impl Drop for ThreadPool {
    fn drop(&mut self) {
        self.stop = None;
        for handle in self.handles.drain(..) {
            let _ = handle.join();
        }
    }
}

/// Spawns tasks; tasks hold this one, so that they don't keep their executor alive.
#[derive(Clone, Debug)]
pub(crate) struct Spawner(Weak<Executor<'static>>);

impl Spawner {
    /// Spawns a task that runs until it ends or the threads do.
    pub(crate) fn spawn(&self, future: impl Future<Output = ()> + Send + 'static) {
        if let Some(executor) = self.0.upgrade() {
            executor.spawn(future).detach();
        }
    }
}
