//! Echoes the body of every request after its run time.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;

use crate::counters::{RunLabels, RunTracker};
use crate::serve::{Call, Reply, Service};
use crate::spec::ClassSpec;

const MAX_ANSWER_BYTES: usize = 64 << 20;

/// HTTP service of one executor.
#[derive(Debug)]
pub(crate) struct ExecutorService {
    vm: Arc<str>,
    slots: usize,
    run_ms: u64,
    run_tracker: Arc<RunTracker>,
}

impl ExecutorService {
    /// Creates the executor on a VM of class `class_spec`.
    pub(crate) fn new(vm: &str, class_spec: &ClassSpec, run_tracker: Arc<RunTracker>) -> Self {
        Self {
            vm: Arc::from(vm),
            slots: class_spec.slots,
            run_ms: class_spec.run_ms,
            run_tracker,
        }
    }

    fn reply(&self, call: &Call) -> Reply {
        let status = call.header_number("x-answer-status").unwrap_or(200);
        let body = match call.header_number::<usize>("x-answer-bytes") {
            Some(bytes) => vec![b'x'; bytes.min(MAX_ANSWER_BYTES)],
            None => call.body().to_vec(),
        };
        let mut reply = Reply::bytes(status, body).with_header("X-Executor", &self.vm);
        for name in ["X-Request-Id", "Content-Type"] {
            if let Some(value) = call.header(name) {
                reply = reply.with_header(name, value);
            }
        }
        reply
    }
}

impl Service for ExecutorService {
    async fn answer(&self, call: Call) -> Reply {
        let labels = RunLabels {
            request_id: call.header("x-request-id").map(str::to_owned),
            team: call.header("x-team").map(str::to_owned),
        };
        let Some(run) = self.run_tracker.start_run(&self.vm, self.slots, labels) else {
            return Reply::error(503, "all slots are taken")
                .with_header("Retry-After", "1")
                .with_header("Busy", "1");
        };
        let run_ms = call.header_number("x-run-ms").unwrap_or(self.run_ms);
        if run_ms > 0 {
            Timer::after(Duration::from_millis(run_ms)).await;
        }
        run.finish();
        self.reply(&call)
    }
}
