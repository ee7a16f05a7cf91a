//! Timeouts that are cheap enough to set for every request.
//!
//! Setting a timer of the reactor wakes the reactor's thread. Nearly all deadlines are
//! dropped before they expire, so they are kept in a table that one thread checks every
//! few milliseconds. Setting one costs no system call, except when the table was empty.

use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::{Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::task::{Context, Poll, Waker};
use std::thread;
use std::time::{Duration, Instant};

use pin_project_lite::pin_project;

/// Interval of the checks for expired deadlines, in ms; a deadline fires up to this late.
const TICK_MS: u64 = 5;

pin_project! {
    /// Future that completes with its work or at its deadline, whichever is first.
    #[derive(Debug)]
    pub(crate) struct Timeout<F> {
        #[pin]
        work: F,
        deadline: Deadline,
    }
}

/// Runs `work` for at most `limit_ms`; `None` when the time is over.
///
/// Not an `async fn`, since its future would reserve space for `work` twice.
pub(crate) fn timeout<F: Future>(limit_ms: u64, work: F) -> Timeout<F> {
    Timeout {
        work,
        deadline: Deadline::after(limit_ms),
    }
}

impl<F: Future> Future for Timeout<F> {
    type Output = Option<F::Output>;

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let this = self.project();
        if let Poll::Ready(output) = this.work.poll(cx) {
            return Poll::Ready(Some(output));
        }
        Pin::new(this.deadline).poll(cx).map(|()| None)
    }
}

/// Time of a deadline, and a number that distinguishes deadlines at the same time.
type Key = (Instant, u64);

#[derive(Debug, Default)]
struct Table {
    wakers: BTreeMap<Key, Waker>,
    /// Number of the last key given out.
    last_number: u64,
}

#[derive(Debug, Default)]
struct Deadlines {
    table: Mutex<Table>,
    /// Notified when the empty table gets a deadline.
    not_empty: Condvar,
}

impl Deadlines {
    fn shared() -> &'static Self {
        static SHARED: OnceLock<Deadlines> = OnceLock::new();
        static STARTED: OnceLock<()> = OnceLock::new();
        let shared = SHARED.get_or_init(Self::default);
        STARTED.get_or_init(|| {
            let thread = thread::Builder::new().name("deadlines".to_owned());
            thread
                .spawn(|| shared.run())
                .expect("the first thread of a process can be started");
        });
        shared
    }

    fn run(&self) {
        loop {
            let table = self.lock();
            let table = self
                .not_empty
                .wait_while(table, |table| table.wakers.is_empty());
            drop(table);
            thread::sleep(Duration::from_millis(TICK_MS));
            for waker in self.due() {
                waker.wake();
            }
        }
    }

    fn due(&self) -> Vec<Waker> {
        let now = (Instant::now(), u64::MAX);
        let mut table = self.lock();
        let later = table.wakers.split_off(&now);
        let due = std::mem::replace(&mut table.wakers, later);
        due.into_values().collect()
    }

    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Future that is ready at `at`. Entered in the table when it is first polled.
#[derive(Debug)]
struct Deadline {
    at: Instant,
    key: Option<Key>,
}

impl Deadline {
    fn after(limit_ms: u64) -> Self {
        Self {
            at: Instant::now() + Duration::from_millis(limit_ms),
            key: None,
        }
    }
}

impl Future for Deadline {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if Instant::now() >= self.at {
            return Poll::Ready(());
        }
        let deadlines = Deadlines::shared();
        let mut table = deadlines.lock();
        let at = self.at;
        let key = *self.key.get_or_insert_with(|| {
            table.last_number += 1;
            (at, table.last_number)
        });
        if table.wakers.is_empty() {
            deadlines.not_empty.notify_one();
        }
        match table.wakers.get_mut(&key) {
            Some(waker) => waker.clone_from(cx.waker()),
            None => {
                table.wakers.insert(key, cx.waker().clone());
            }
        }
        Poll::Pending
    }
}

impl Drop for Deadline {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            Deadlines::shared().lock().wakers.remove(&key);
        }
    }
}
