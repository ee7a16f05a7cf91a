//! Thread pool that runs the tasks of the stand-ins and of the load generator.

use std::future::Future;
use std::sync::{Arc, Weak};
use std::thread::{self, JoinHandle};

use anyhow::{Context, Result};
use async_channel::Sender;
use async_executor::Executor;
use futures_lite::future::block_on;

/// Threads that run one async executor. Dropping the pool joins the threads and drops all tasks.
#[derive(Debug)]
pub(crate) struct ThreadPool {
    executor: Arc<Executor<'static>>,
    stop: Option<Sender<()>>,
    handles: Vec<JoinHandle<()>>,
}

impl ThreadPool {
    /// Starts `count` threads, at least one.
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

    /// Returns a handle for spawning tasks that doesn't keep the executor alive.
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

/// Spawns tasks on a [`ThreadPool`]. Holds a weak reference, so that tasks that keep a spawner
/// don't keep their own executor alive.
#[derive(Clone, Debug)]
pub(crate) struct Spawner(Weak<Executor<'static>>);

impl Spawner {
    /// Spawns a task that runs until it completes or the pool is dropped; does nothing once the
    /// pool is gone.
    pub(crate) fn spawn(&self, future: impl Future<Output = ()> + Send + 'static) {
        if let Some(executor) = self.0.upgrade() {
            executor.spawn(future).detach();
        }
    }
}
