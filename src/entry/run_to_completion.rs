//! A future that runs to its end even when it is dropped.

use std::pin::Pin;
use std::task::{Context, Poll};

use crate::runtime::Runtime;

/// A future that continues as a task of its own on `runtime` when it is dropped before its
/// end.
pub(crate) struct RunToCompletion<F>
where
    F: Future<Output: Send + 'static> + Send + 'static,
{
    future: Option<Pin<Box<F>>>,
    runtime: Runtime,
}

impl<F> RunToCompletion<F>
where
    F: Future<Output: Send + 'static> + Send + 'static,
{
    pub(crate) fn new(future: F, runtime: Runtime) -> Self {
        Self {
            future: Some(Box::pin(future)),
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
        let Some(future) = &mut self.future else {
            return Poll::Pending;
        };
        let result = future.as_mut().poll(cx);
        if result.is_ready() {
            self.future = None;
        }
        result
    }
}

impl<F> Drop for RunToCompletion<F>
where
    F: Future<Output: Send + 'static> + Send + 'static,
{
    fn drop(&mut self) {
        if let Some(future) = self.future.take() {
            self.runtime.spawn(future).detach();
        }
    }
}
