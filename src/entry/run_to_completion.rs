//! Work that can't be stopped by dropping it.

use std::pin::Pin;
use std::task::{Context, Poll};

use crate::runtime::Runtime;

/// Work that goes on as a task of its own when nobody waits for it any more.
pub(crate) struct RunToCompletion<F>
where
    F: Future<Output: Send + 'static> + Send + 'static,
{
    work: Option<Pin<Box<F>>>,
    runtime: Runtime,
}

impl<F> RunToCompletion<F>
where
    F: Future<Output: Send + 'static> + Send + 'static,
{
    pub(crate) fn new(work: F, runtime: Runtime) -> Self {
        Self {
            work: Some(Box::pin(work)),
            runtime,
        }
    }
}

impl<F> Future for RunToCompletion<F>
where
    F: Future<Output: Send + 'static> + Send + 'static,
{
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<F::Output> {
        let Some(work) = &mut self.work else {
            return Poll::Pending;
        };
        let result = work.as_mut().poll(cx);
        if result.is_ready() {
            self.work = None;
        }
        result
    }
}

impl<F> Drop for RunToCompletion<F>
where
    F: Future<Output: Send + 'static> + Send + 'static,
{
    fn drop(&mut self) {
        if let Some(work) = self.work.take() {
            self.runtime.spawn(work).detach();
        }
    }
}
