//! Threads that run traffic tasks.

use std::future::Future;
use std::sync::Arc;
use std::thread;

use anyhow::{Context, Result};
use async_channel::Sender;
use async_executor::{Executor, Task};
use async_io::block_on;

/// A running set of traffic threads; they end when the last clone is dropped.
#[derive(Clone, Debug)]
pub struct Runtime {
    executor: Arc<Executor<'static>>,
    _stop: Sender<()>,
}

impl Runtime {
    /// Starts `threads` traffic threads.
    ///
    /// # Errors
    /// Fails when the operating system refuses a thread.
    pub fn start(threads: usize) -> Result<Self> {
        let executor = Arc::new(Executor::new());
        let (stop, stopped) = async_channel::bounded::<()>(1);
        for i in 0..threads {
            let executor = Arc::clone(&executor);
            let stopped = stopped.clone();
            thread::Builder::new()
                .name(format!("traffic-{i}"))
                .spawn(move || {
                    let _ = block_on(executor.run(stopped.recv()));
                })
                .context("start a traffic thread")?;
        }
        Ok(Self {
            executor,
            _stop: stop,
        })
    }

    /// Spawns a task on the traffic threads.
    pub fn spawn<T: Send + 'static>(
        &self,
        future: impl Future<Output = T> + Send + 'static,
    ) -> Task<T> {
        self.executor.spawn(future)
    }
}
