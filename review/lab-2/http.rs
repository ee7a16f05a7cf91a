//! A small HTTP/1.1 server and client over loopback.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn param(&self, name: &str) -> Option<&str> {
        let found = self.query.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }
}

#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

pub fn response(status: u16, body: impl Into<Vec<u8>>) -> Response {
    Response {
        status,
        body: body.into(),
    }
}

/// Answers a request; `None` closes the connection without an answer.
pub type Handler = Arc<dyn Fn(&Request) -> Option<Response> + Send + Sync>;

/// Serves a listener. A connection is closed once `life` is not what it was at its opening.
pub fn serve(listener: TcpListener, life: Arc<AtomicU64>, handler: Handler) {
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let (life, handler) = (Arc::clone(&life), Arc::clone(&handler));
            thread::spawn(move || connection(stream, &life, &handler));
        }
    });
}

fn connection(mut stream: TcpStream, life: &AtomicU64, handler: &Handler) {
    let opened_in = life.load(Ordering::SeqCst);
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(20)));
    let mut buffer = Vec::new();
    loop {
        let request = loop {
            if life.load(Ordering::SeqCst) != opened_in {
                return;
            }
            match parse(&mut buffer) {
                Some(request) => break request,
                None => match fill(&mut stream, &mut buffer) {
                    Some(true) | None => {}
                    Some(false) => return,
                },
            }
        };
        let Some(answer) = handler(&request) else {
            return;
        };
        if life.load(Ordering::SeqCst) != opened_in || !write_response(&mut stream, &answer) {
            return;
        }
    }
}

/// Reads once; `Some(false)` at the end of the stream, `None` after a timeout.
fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<bool> {
    let mut bytes = [0; 65_536];
    match stream.read(&mut bytes) {
        Ok(0) => Some(false),
        Ok(size) => {
            buffer.extend(&bytes[..size]);
            Some(true)
        }
        Err(error)
            if matches!(
                error.kind(),
                std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
            ) =>
        {
            None
        }
        Err(_) => Some(false),
    }
}

fn split_head(buffer: &[u8]) -> Option<(String, usize)> {
    let end = buffer.windows(4).position(|part| part == b"\r\n\r\n")?;
    Some((
        String::from_utf8_lossy(&buffer[..end]).into_owned(),
        end + 4,
    ))
}

fn headers(head: &str) -> Vec<(String, String)> {
    let lines = head
        .split("\r\n")
        .skip(1)
        .filter_map(|line| line.split_once(':'));
    lines
        .map(|(name, value)| (name.trim().to_lowercase(), value.trim().to_owned()))
        .collect()
}

fn length(headers: &[(String, String)]) -> usize {
    let found = headers.iter().find(|(name, _)| name == "content-length");
    found.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}

/// Takes a complete request out of the buffer.
fn parse(buffer: &mut Vec<u8>) -> Option<Request> {
    let (head, at) = split_head(buffer)?;
    let headers = headers(&head);
    let end = at + length(&headers);
    if buffer.len() < end {
        return None;
    }
    let body = buffer[at..end].to_vec();
    buffer.drain(..end);
    let mut first = head.split("\r\n").next()?.split(' ');
    let (method, target) = (first.next()?.to_owned(), first.next()?.to_owned());
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query
        .map(|(name, value)| (name.to_owned(), decode(value)))
        .collect();
    Some(Request {
        method,
        path: path.to_owned(),
        query,
        headers,
        body,
    })
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn write_response(stream: &mut TcpStream, answer: &Response) -> bool {
    let head = format!(
        "HTTP/1.1 {} x\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
        answer.status,
        answer.body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend(&answer.body);
    stream.write_all(&bytes).is_ok()
}

/// Sends one request over a new connection; `None` without a complete answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    extra: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<Response> {
    let deadline = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(20)));
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in extra {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!(
        "content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut buffer = Vec::new();
    while Instant::now() < deadline {
        if let Some((head, at)) = split_head(&buffer) {
            let end = at + length(&headers(&head));
            if buffer.len() >= end {
                let status = head.split(' ').nth(1)?.parse().ok()?;
                return Some(Response {
                    status,
                    body: buffer[at..end].to_vec(),
                });
            }
        }
        if fill(&mut stream, &mut buffer) == Some(false) {
            return None;
        }
    }
    None
}
