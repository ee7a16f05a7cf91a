//! Callers with blocking sockets, as cheap as can be.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::common;

/// Figures of one way in one round.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sample {
    pub(crate) requests: u64,
    pub(crate) failed: u64,
    /// Requests a second.
    pub(crate) rate: f64,
    pub(crate) p50_us: f64,
    pub(crate) p99_us: f64,
    /// Processor time of the entries for each request.
    pub(crate) cpu_us: f64,
}

/// One kind of request.
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

    /// Sends one request after another on each connection.
    pub(crate) fn run(&self, connections: usize, time: Duration) -> Sample {
        let start = Instant::now();
        let workers: Vec<_> = (0..connections)
            .map(|_| {
                let load = self.clone();
                thread::spawn(move || load.work(start + time))
            })
            .collect();
        let mut all = histogram();
        let mut failed = 0;
        for worker in workers {
            let (histogram, failures) = worker.join().expect("caller");
            all.add(histogram).expect("same bounds");
            failed += failures;
        }
        #[allow(clippy::cast_precision_loss)] // Counts stay far below 2^52.
        let micros = |ns: u64| ns as f64 / 1_000.0;
        #[allow(clippy::cast_precision_loss)] // Counts stay far below 2^52.
        let requests = all.len() as f64;
        Sample {
            requests: all.len(),
            failed,
            rate: requests / start.elapsed().as_secs_f64(),
            p50_us: micros(all.value_at_quantile(0.5)),
            p99_us: micros(all.value_at_quantile(0.99)),
            cpu_us: 0.0,
        }
    }

    fn work(&self, end: Instant) -> (Histogram<u64>, u64) {
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

    /// Opens `callers` connections with one waiting request each and calls `look` while
    /// they wait; returns how many were answered well.
    pub(crate) fn open_callers<T>(&self, callers: usize, look: impl Fn() -> T) -> (usize, T) {
        let bytes = self.request();
        let mut streams: Vec<TcpStream> = (0..callers)
            .map(|_| {
                let mut stream = connect(self.address);
                stream.write_all(&bytes).expect("write");
                stream
            })
            .collect();
        let seen = look();
        let answered = streams
            .iter_mut()
            .filter_map(read_answer)
            .filter(|status| *status == 200)
            .count();
        (answered, seen)
    }

    fn request(&self) -> Vec<u8> {
        let Self { path, run_ms, .. } = self;
        let key = common::authorization_line("neretva");
        format!("GET {path} HTTP/1.1\r\nHost: bench\r\n{key}X-Run-Ms: {run_ms}\r\n\r\n")
            .into_bytes()
    }
}

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

/// Status of the next answer, read to the end of its body.
fn read_answer(stream: &mut TcpStream) -> Option<u16> {
    let mut bytes = Vec::with_capacity(1 << 10);
    let mut part = [0; 4 << 10];
    loop {
        let n = stream.read(&mut part).ok()?;
        if n == 0 {
            return None;
        }
        bytes.extend_from_slice(&part[..n]);
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
