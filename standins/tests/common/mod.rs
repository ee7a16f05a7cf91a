//! Fixtures: a small fleet and a minimal blocking HTTP client.

// Each test file uses only part of this module.
#![allow(dead_code, missing_docs, unreachable_pub)]

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use amaranthwick_standins::{ClassSpec, DataCentreSpec, Fleet, FleetSpec, Kind};
use indexmap::IndexMap;
use serde_json::Value;

/// Limit on reads and on [`wait_until`].
pub const IO_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a connection must stay silent to count as silent.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(150);

pub fn spec() -> FleetSpec {
    let executor = ClassSpec::default();
    let worker = ClassSpec {
        kind: Kind::Worker,
        ..ClassSpec::default()
    };
    let vms = IndexMap::from([("small".to_owned(), 2), ("guarded".to_owned(), 3)]);
    let data_centre = DataCentreSpec { vms, per_rack: 2 };
    FleetSpec {
        classes: IndexMap::from([
            ("small".to_owned(), executor),
            ("guarded".to_owned(), worker),
        ]),
        data_centres: IndexMap::from([
            ("split".to_owned(), data_centre.clone()),
            ("zadar".to_owned(), data_centre),
        ]),
        list_lag_ms: 0,
        usage_lag_ms: 0,
        reboot_ms: 100,
        ..FleetSpec::default()
    }
}

pub fn fleet() -> Fleet {
    Fleet::open(&spec()).unwrap()
}

/// A complete HTTP response.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }

    pub fn text(&self) -> String {
        String::from_utf8(self.body.clone()).unwrap()
    }

    pub fn has_header(&self, header: &str) -> bool {
        self.head.to_lowercase().contains(&header.to_lowercase())
    }
}

/// A connection that stays open between requests.
#[derive(Debug)]
pub struct Client(pub TcpStream);

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(IO_TIMEOUT))?;
        stream.set_nodelay(true)?;
        Ok(Self(stream))
    }

    pub fn send(&mut self, request_line: &str, headers: &[&str], body: &str) -> io::Result<()> {
        let mut text = format!("{request_line} HTTP/1.1\r\nHost: test\r\n");
        for header in headers {
            text.push_str(header);
            text.push_str("\r\n");
        }
        let length = format!("Content-Length: {}\r\n\r\n", body.len());
        text.push_str(&length);
        text.push_str(body);
        self.0.write_all(text.as_bytes())
    }

    pub fn read(&mut self) -> io::Result<Answer> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            self.0.read_exact(&mut byte)?;
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
        let length = head
            .lines()
            .find_map(|l| {
                l.to_lowercase()
                    .strip_prefix("content-length:")?
                    .trim()
                    .parse()
                    .ok()
            })
            .unwrap_or(0);
        let mut body = vec![0; length];
        self.0.read_exact(&mut body)?;
        Ok(Answer {
            status: status.unwrap_or(0),
            head,
            body,
        })
    }

    pub fn request(
        &mut self,
        request_line: &str,
        headers: &[&str],
        body: &str,
    ) -> io::Result<Answer> {
        self.send(request_line, headers, body)?;
        self.read()
    }

    /// True if the server neither sends a byte nor closes within `limit`.
    pub fn is_silent(&mut self, limit: Duration) -> bool {
        self.0.set_read_timeout(Some(limit)).unwrap();
        let silent = match self.0.read(&mut [0]) {
            Ok(_) => false,
            Err(e) => matches!(
                e.kind(),
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
            ),
        };
        self.0.set_read_timeout(Some(IO_TIMEOUT)).unwrap();
        silent
    }

    /// True if the server closes the connection without sending a byte.
    pub fn is_closed(&mut self) -> bool {
        match self.0.read(&mut [0]) {
            Ok(n) => n == 0,
            Err(e) => e.kind() == io::ErrorKind::ConnectionReset,
        }
    }

    /// Reads everything until the server closes the connection.
    pub fn read_until_closed(&mut self) -> Vec<u8> {
        let mut bytes = Vec::new();
        let _ = self.0.read_to_end(&mut bytes);
        bytes
    }
}

/// Sends one request on a new connection and reads the response.
pub fn request(address: SocketAddr, request_line: &str, headers: &[&str], body: &str) -> Answer {
    let mut client = Client::connect(address).unwrap();
    client.request(request_line, headers, body).unwrap()
}

/// Waits until `test` returns true; panics with `what` after [`IO_TIMEOUT`].
pub fn wait_until(what: &str, test: impl Fn() -> bool) {
    let end = Instant::now() + IO_TIMEOUT;
    while !test() {
        assert!(Instant::now() < end, "timeout: {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}
