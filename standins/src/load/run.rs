//! Runs open-loop and closed-loop loads.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use anyhow::{Result, bail};
use async_io::Timer;
use futures_lite::future::{self, block_on};

use super::arrivals::Arrivals;
use super::connections::{Connections, LoadRequest, ResponseSummary};
use super::report::LoadReport;
use crate::thread_pool::{Spawner, ThreadPool};

/// Target and limits of a load.
#[derive(Clone, Debug)]
pub struct LoadSpec {
    /// Address of the server.
    pub address: SocketAddr,
    /// Maximum number of open connections; further requests wait for one.
    pub connections: usize,
    /// Time after which a request fails, including the wait for a connection.
    pub timeout: Duration,
    /// Number of threads that send requests.
    pub threads: usize,
}

/// State shared by the tasks of one load.
struct Load<F> {
    connections: Connections,
    timeout: Duration,
    request: F,
    report: Mutex<LoadReport>,
}

/// Runs an open-loop load: sends `request(0)`, `request(1)`, ... at the times of `arrivals`
/// before `duration`, and waits for all responses. Latencies count from the scheduled time, so
/// that they include the delay of requests held up by a stalled server.
///
/// # Errors
/// Fails if a thread can't be started.
pub fn run_open<F>(
    spec: &LoadSpec,
    arrivals: Arrivals,
    duration: Duration,
    request: F,
) -> Result<LoadReport>
where
    F: Fn(u64) -> LoadRequest + Send + Sync + 'static,
{
    let threads = ThreadPool::open(spec.threads)?;
    let load = Load::new(spec, request);
    let due = arrivals.take_while(|at| *at < duration);
    block_on(send_open_loop(&load, &threads.spawner(), due));
    Ok(load.finish())
}

/// Runs a closed-loop load: sends `count` requests per connection of `spec`, each after the
/// response to the previous one.
///
/// # Errors
/// Fails if a thread can't be started.
pub fn run_closed<F>(spec: &LoadSpec, count: u64, request: F) -> Result<LoadReport>
where
    F: Fn(u64) -> LoadRequest + Send + Sync + 'static,
{
    let threads = ThreadPool::open(spec.threads)?;
    let load = Load::new(spec, request);
    block_on(send_closed_loop(&load, &threads.spawner(), spec, count));
    Ok(load.finish())
}

async fn send_open_loop<F>(
    load: &Arc<Load<F>>,
    spawner: &Spawner,
    due: impl Iterator<Item = Duration>,
) where
    F: Fn(u64) -> LoadRequest + Send + Sync + 'static,
{
    let start = Instant::now();
    let (in_flight, all_done) = async_channel::bounded::<()>(1);
    for (number, at) in (0..).zip(due) {
        let at = start + at;
        if at > Instant::now() {
            Timer::at(at).await;
        }
        let load = Arc::clone(load);
        let in_flight = in_flight.clone();
        spawner.spawn(async move {
            load.send(number, at).await;
            drop(in_flight);
        });
    }
    drop(in_flight);
    let _ = all_done.recv().await;
    load.lock().elapsed = start.elapsed();
}

async fn send_closed_loop<F>(load: &Arc<Load<F>>, spawner: &Spawner, spec: &LoadSpec, count: u64)
where
    F: Fn(u64) -> LoadRequest + Send + Sync + 'static,
{
    let start = Instant::now();
    let (in_flight, all_done) = async_channel::bounded::<()>(1);
    for connection in 0..spec.connections as u64 {
        let load = Arc::clone(load);
        let in_flight = in_flight.clone();
        spawner.spawn(async move {
            for i in 0..count {
                load.send(connection * count + i, Instant::now()).await;
            }
            drop(in_flight);
        });
    }
    drop(in_flight);
    let _ = all_done.recv().await;
    load.lock().elapsed = start.elapsed();
}

impl<F: Fn(u64) -> LoadRequest> Load<F> {
    fn new(spec: &LoadSpec, request: F) -> Arc<Self> {
        Arc::new(Self {
            connections: Connections::new(spec.address, spec.connections),
            timeout: spec.timeout,
            request,
            report: Mutex::new(LoadReport::empty()),
        })
    }

    async fn send(&self, number: u64, due: Instant) {
        self.lock().sent += 1;
        let request = (self.request)(number);
        let answer = self.exchange(&request).await;
        let latency = due.elapsed();
        let mut report = self.lock();
        match answer {
            Ok(answer) => report.record_response(answer.status, answer.crossed, latency),
            Err(_) => report.failed += 1,
        }
    }

    async fn exchange(&self, request: &LoadRequest) -> Result<ResponseSummary> {
        let timeout = async {
            Timer::after(self.timeout).await;
            bail!("timeout")
        };
        future::or(self.connections.exchange(request), timeout).await
    }

    fn finish(&self) -> LoadReport {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, LoadReport> {
        self.report.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
