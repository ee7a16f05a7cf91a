//! Callers with blocking sockets, which take as little processor time as possible.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::common;

/// Results of one route in one round.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sample {
    /// Requests sent, including those that failed.
    pub(crate) requests: u64,
    /// Requests without an answer of status 200.
    pub(crate) failed: u64,
    /// Requests per second.
    pub(crate) rate: f64,
    pub(crate) p50_us: f64,
    pub(crate) p99_us: f64,
    /// Processor time of the entries on the route per request.
    pub(crate) cpu_us: f64,
}

/// Load of equal requests, each of which runs for `run_ms`.
#[derive(Clone, Debug)]
pub(crate) struct Load {
    address: SocketAddr,
    path: &'static str,
    run_ms: u64,
}

impl Load {
    pub(crate) const fn new(address: SocketAddr, path: &'static str, run_ms: u64) -> Self {
        Self {
            address,
            path,
            run_ms,
        }
    }

    /// Sends one request after another on each of the connections, each with a thread of its own;
    /// leaves `cpu_us` at 0.
    pub(crate) fn run(&self, connections: usize, duration: Duration) -> Sample {
        let start = Instant::now();
        let callers: Vec<_> = (0..connections)
            .map(|_| {
                let load = self.clone();
                thread::spawn(move || load.send_until(start + duration))
            })
            .collect();
        let mut merged = histogram();
        let mut failed = 0;
        for caller in callers {
            let (histogram, failures) = caller.join().expect("caller");
            merged.add(histogram).expect("same bounds");
            failed += failures;
        }
        #[allow(clippy::cast_precision_loss)] // Counts stay far below 2^52.
        let micros = |ns: u64| ns as f64 / 1_000.0;
        #[allow(clippy::cast_precision_loss)] // Counts stay far below 2^52.
        let requests = merged.len() as f64;
        Sample {
            requests: merged.len(),
            failed,
            rate: requests / start.elapsed().as_secs_f64(),
            p50_us: micros(merged.value_at_quantile(0.5)),
            p99_us: micros(merged.value_at_quantile(0.99)),
            cpu_us: 0.0,
        }
    }

    /// Sends requests on one connection until `end`; returns latencies in ns and the number of
    /// failures.
    fn send_until(&self, end: Instant) -> (Histogram<u64>, u64) {
        let mut stream = connect(self.address);
        let bytes = self.request();
        let mut histogram = histogram();
        let mut failed = 0;
        while Instant::now() < end {
            let sent = Instant::now();
            stream.write_all(&bytes).expect("write");
            if read_answer(&mut stream) != Some(200) {
                failed += 1;
            }
            let nanos = u64::try_from(sent.elapsed().as_nanos()).unwrap_or(u64::MAX);
            histogram.saturating_record(nanos);
        }
        (histogram, failed)
    }

    /// Opens `callers` connections with one waiting request each and calls `observe` while
    /// they wait; returns how many were answered with status 200, and what `observe` returned.
    pub(crate) fn open_callers<T>(&self, callers: usize, observe: impl Fn() -> T) -> (usize, T) {
        let bytes = self.request();
        let mut streams: Vec<TcpStream> = (0..callers)
            .map(|_| {
                let mut stream = connect(self.address);
                stream.write_all(&bytes).expect("write");
                stream
            })
            .collect();
        let observed = observe();
        let answered = streams
            .iter_mut()
            .filter_map(read_answer)
            .filter(|status| *status == 200)
            .count();
        (answered, observed)
    }

    fn request(&self) -> Vec<u8> {
        let Self { path, run_ms, .. } = self;
        let key = common::authorization_line("neretva");
        format!("GET {path} HTTP/1.1\r\nHost: bench\r\n{key}X-Run-Ms: {run_ms}\r\n\r\n")
            .into_bytes()
    }
}

/// Histogram of latencies of up to 60 s, in ns.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000_000, 3).expect("bounds")
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("connect");
    stream.set_nodelay(true).expect("nodelay");
    stream
        .set_read_timeout(Some(Duration::from_mins(1)))
        .expect("timeout");
    stream
}

/// Reads the next answer to the end of its body and returns its status; `None` if the connection
/// fails or the answer is malformed.
fn read_answer(stream: &mut TcpStream) -> Option<u16> {
    let mut bytes = Vec::with_capacity(1 << 10);
    let mut chunk = [0; 4 << 10];
    loop {
        let n = stream.read(&mut chunk).ok()?;
        if n == 0 {
            return None;
        }
        bytes.extend_from_slice(&chunk[..n]);
        let end = bytes.windows(4).position(|w| w == b"\r\n\r\n");
        if let Some(end) = end {
            let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
            let length: usize = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "))
                .and_then(|n| n.parse().ok())?;
            if bytes.len() >= end + 4 + length {
                return head.split(' ').nth(1)?.parse().ok();
            }
        }
    }
}
