//! Thread pool that runs the tasks serving requests.

use std::future::Future;
use std::sync::Arc;
use std::thread;

use anyhow::{Context, Result};
use async_channel::Sender;
use async_executor::{Executor, Task};
use async_io::block_on;

/// Handle to the traffic threads, which end when the last clone is dropped.
#[derive(Clone, Debug)]
pub struct Runtime {
    executor: Arc<Executor<'static>>,
    _stop: Sender<()>,
}

impl Runtime {
    /// Starts `threads` threads, named `traffic-0` and so on, that run spawned tasks.
    ///
    /// # Errors
    /// Fails when the operating system can't create a thread.
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

    /// Runs a task on the traffic threads; dropping the returned task cancels it.
    pub fn spawn<T: Send + 'static>(
        &self,
        future: impl Future<Output = T> + Send + 'static,
    ) -> Task<T> {
        self.executor.spawn(future)
    }
}
