//! Serves the requests of one connection, and applies faults to them.

use std::sync::Arc;
use std::time::Duration;

use async_h1::server::decode;
use async_io::Timer;
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};

use super::malformed::malformed_answer;
use super::{Call, Reply, Service};
use crate::fault::{Network, Site, WrongAnswer};

const DISCARD_BYTES: usize = 4_096;

/// An open connection.
#[derive(Debug)]
pub(super) struct Connection {
    /// Socket of the connection.
    pub(super) stream: TcpStream,
    /// Sequence number of the connection at its site, from 1.
    pub(super) number: u64,
    /// Site that accepted the connection.
    pub(super) site: Arc<Site>,
    /// Partitions between data centres.
    pub(super) network: Arc<Network>,
}

/// What to do with the connection next.
enum Disposition {
    KeepOpen,
    Close,
    Discard,
}

/// Serves requests until either side closes the connection.
pub(super) async fn serve<S: Service>(connection: Connection, service: &S) {
    loop {
        match exchange(&connection, service).await {
            Disposition::KeepOpen => {}
            Disposition::Close => return,
            Disposition::Discard => return discard(connection.stream).await,
        }
    }
}

async fn exchange<S: Service>(connection: &Connection, service: &S) -> Disposition {
    let Some(call) = read_call(&connection.stream).await else {
        return Disposition::Close;
    };
    let method = call.method();
    let closes_after = call.closes_after();
    let client = call.header("data-centre").map(str::to_owned);
    if let Some(disposition) = apply_request_faults(connection, client.as_deref()).await {
        return disposition;
    }
    let reply = service.answer(call).await;
    if let Some(disposition) = apply_answer_faults(connection, client.as_deref()).await {
        return disposition;
    }
    let Ok(bytes) = reply.encode(method).await else {
        return Disposition::Close;
    };
    let sent = write_answer(connection, bytes).await;
    if closes_after {
        Disposition::Close
    } else {
        sent
    }
}

async fn read_call(stream: &TcpStream) -> Option<Call> {
    let decoded = decode(stream.clone()).await;
    let (mut head, _reader) = match decoded {
        Ok(found) => found?,
        Err(e) => {
            send_bad_request(stream, &e.to_string()).await;
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

async fn send_bad_request(stream: &TcpStream, message: &str) {
    let reply = Reply::error(400, message).with_header("Connection", "close");
    if let Ok(bytes) = reply.encode(http_types::Method::Get).await {
        let _ = stream.clone().write_all(&bytes).await;
    }
}

/// Applies the faults that act once a request has arrived, before it is processed.
async fn apply_request_faults(
    connection: &Connection,
    client: Option<&str>,
) -> Option<Disposition> {
    let site = &connection.site;
    site.wait_until_unfrozen().await;
    if site.is_silent(connection.number) {
        return Some(Disposition::Discard);
    }
    if let Some(client) = client {
        let connected = connection
            .network
            .wait_until_connected(client, site.data_centre());
        if !completes_before_close(connection, connected).await {
            return Some(Disposition::Close);
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
        return Some(write_answer(connection, bytes).await);
    }
    None
}

/// Applies the faults that act once a request has been processed, before its response is sent.
async fn apply_answer_faults(connection: &Connection, client: Option<&str>) -> Option<Disposition> {
    let site = &connection.site;
    if site.take_lost_answer() {
        return Some(Disposition::Close);
    }
    site.wait_until_unfrozen().await;
    if site.is_silent(connection.number) {
        return Some(Disposition::Discard);
    }
    let client = client?;
    let connected = connection
        .network
        .wait_until_connected(site.data_centre(), client);
    (!completes_before_close(connection, connected).await).then_some(Disposition::Close)
}

async fn write_answer(connection: &Connection, bytes: Vec<u8>) -> Disposition {
    let mut stream = connection.stream.clone();
    let Some(wrong) = connection.site.take_wrong_answer() else {
        return match stream.write_all(&bytes).await {
            Ok(()) => Disposition::KeepOpen,
            Err(_) => Disposition::Close,
        };
    };
    if wrong.delay_ms > 0 {
        Timer::after(Duration::from_millis(wrong.delay_ms)).await;
    }
    let keep_open = wrong.answer == WrongAnswer::Late;
    let bytes = malformed_answer(wrong.answer, bytes);
    if stream.write_all(&bytes).await.is_ok() && keep_open {
        return Disposition::KeepOpen;
    }
    Disposition::Close
}

/// Waits for `work`; false if the client closes the connection first.
async fn completes_before_close(connection: &Connection, work: impl Future<Output = ()>) -> bool {
    let work = async {
        work.await;
        true
    };
    future::or(work, wait_for_close(&connection.stream)).await
}

/// Waits until the client closes the connection, then returns false.
async fn wait_for_close(stream: &TcpStream) -> bool {
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
