//! Callers that submit jobs, and another process that leads, while a test goes on.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use amaranthwick::scheduler::{JobKey, JobSpec, Record, Step};

use crate::fake::Platform;

/// Interval at which a caller's record is stored, less than the time of a call to the store.
const RECORD_INTERVAL: Duration = Duration::from_millis(2);
pub(crate) fn job() -> JobSpec {
    JobSpec {
        queue: "q".to_owned(),
        pool: "p".to_owned(),
        team: None,
        payload: String::new(),
        steps: vec![Step {
            count: 1,
            estimate_ms: 60_000,
            ..Step::default()
        }],
        occurrence_count: 0,
        first_due_ms: 0,
        interval_ms: 0,
        accepted_ms: 0,
        terms: None,
    }
}

/// A thread that acts for as long as this is kept.
pub(crate) struct Background {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Background {
    fn start(interval: Duration, mut act: impl FnMut(u64) + Send + 'static) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let thread = thread::spawn(move || {
            for i in 0.. {
                if stopped.load(Ordering::Relaxed) {
                    return;
                }
                act(i);
                thread::sleep(interval);
            }
        });
        Self {
            stop,
            thread: Some(thread),
        }
    }
}

impl Drop for Background {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

/// Stores a caller's record every [`RECORD_INTERVAL`].
pub(crate) fn store_jobs(platform: &Platform) -> Background {
    let platform = platform.clone();
    Background::start(RECORD_INTERVAL, move |i| {
        platform.lock().push(Record::Job(JobKey(1_000 + i), job()));
    })
}

/// Another process that leads and stores a batch every 200 ms.
pub(crate) fn lead_from_outside(platform: &Platform, epoch: u64) -> Background {
    let platform = platform.clone();
    Background::start(Duration::from_millis(200), move |batch| {
        platform.lock().lead_from_outside(epoch, batch);
    })
}
