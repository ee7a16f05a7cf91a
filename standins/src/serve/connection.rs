//! Reads calls from one connection and writes their answers, with faults.

use std::sync::Arc;
use std::time::Duration;

use async_h1::server::decode;
use async_io::Timer;
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};

use super::wrong::spoil;
use super::{Call, Reply, Service};
use crate::fault::{Network, Site, WrongAnswer};

const DISCARD_BYTES: usize = 4_096;

/// One open connection.
#[derive(Debug)]
pub(super) struct Connection {
    /// The connection.
    pub(super) stream: TcpStream,
    /// Number of the connection at its site.
    pub(super) number: u64,
    /// The site that accepted it.
    pub(super) site: Arc<Site>,
    /// Cuts between data centres.
    pub(super) network: Arc<Network>,
}

/// What becomes of the connection.
enum Next {
    Keep,
    Close,
    Silence,
}

/// Answers calls until either side closes.
pub(super) async fn serve<S: Service>(connection: Connection, service: &S) {
    loop {
        match exchange(&connection, service).await {
            Next::Keep => {}
            Next::Close => return,
            Next::Silence => return discard(connection.stream).await,
        }
    }
}

async fn exchange<S: Service>(connection: &Connection, service: &S) -> Next {
    let Some(call) = read(&connection.stream).await else {
        return Next::Close;
    };
    let method = call.method();
    let closes = call.closes();
    let client = call.header("data-centre").map(str::to_owned);
    if let Some(next) = arrive(connection, client.as_deref()).await {
        return next;
    }
    let reply = service.answer(call).await;
    if let Some(next) = depart(connection, client.as_deref()).await {
        return next;
    }
    let Ok(bytes) = reply.encode(method).await else {
        return Next::Close;
    };
    let sent = write(connection, bytes).await;
    if closes { Next::Close } else { sent }
}

async fn read(stream: &TcpStream) -> Option<Call> {
    let decoded = decode(stream.clone()).await;
    let (mut head, _reader) = match decoded {
        Ok(found) => found?,
        Err(e) => {
            refuse(stream, &e.to_string()).await;
            return None;
        }
    };
    let length = head.len();
    let body = head.body_bytes().await.ok()?;
    if length.is_some_and(|n| n != body.len()) {
        return None;
    }
    Some(Call::new(head, body))
}

async fn refuse(stream: &TcpStream, words: &str) {
    let reply = Reply::error(400, words).with("Connection", "close");
    if let Ok(bytes) = reply.encode(http_types::Method::Get).await {
        let _ = stream.clone().write_all(&bytes).await;
    }
}

/// Faults between the call's last byte and its effect.
async fn arrive(connection: &Connection, client: Option<&str>) -> Option<Next> {
    let site = &connection.site;
    site.until_thawed().await;
    if site.is_silent(connection.number) {
        return Some(Next::Silence);
    }
    if let Some(client) = client {
        let passes = connection.network.until_passes(client, site.data_centre());
        if !or_closed(connection, passes).await {
            return Some(Next::Close);
        }
    }
    let slow_ms = site.slow_ms();
    if slow_ms > 0 {
        Timer::after(Duration::from_millis(slow_ms)).await;
    }
    if site.is_unavailable() {
        let bytes = Reply::unavailable()
            .encode(http_types::Method::Get)
            .await
            .ok()?;
        return Some(write(connection, bytes).await);
    }
    None
}

/// Faults between the call's effect and the first byte of its answer.
async fn depart(connection: &Connection, client: Option<&str>) -> Option<Next> {
    let site = &connection.site;
    if site.take_lost() {
        return Some(Next::Close);
    }
    site.until_thawed().await;
    if site.is_silent(connection.number) {
        return Some(Next::Silence);
    }
    let client = client?;
    let passes = connection.network.until_passes(site.data_centre(), client);
    (!or_closed(connection, passes).await).then_some(Next::Close)
}

async fn write(connection: &Connection, bytes: Vec<u8>) -> Next {
    let mut stream = connection.stream.clone();
    let Some(wrong) = connection.site.take_wrong() else {
        return match stream.write_all(&bytes).await {
            Ok(()) => Next::Keep,
            Err(_) => Next::Close,
        };
    };
    if wrong.delay_ms > 0 {
        Timer::after(Duration::from_millis(wrong.delay_ms)).await;
    }
    let keep = wrong.answer == WrongAnswer::Late;
    let spoilt = spoil(wrong.answer, bytes);
    if stream.write_all(&spoilt).await.is_ok() && keep {
        return Next::Keep;
    }
    Next::Close
}

/// Waits for `work`; false when the client closes first.
async fn or_closed(connection: &Connection, work: impl Future<Output = ()>) -> bool {
    let work = async {
        work.await;
        true
    };
    future::or(work, closed(&connection.stream)).await
}

/// Ends with false once the client has closed.
async fn closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    match stream.peek(&mut byte).await {
        Ok(1..) => future::pending().await,
        Ok(0) | Err(_) => false,
    }
}

async fn discard(mut stream: TcpStream) {
    let mut bytes = vec![0; DISCARD_BYTES];
    while stream.read(&mut bytes).await.is_ok_and(|n| n > 0) {}
}
