//! Accepts the connections of one site.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::future;

use super::Service;
use super::connection::{Connection, serve};
use crate::fault::{Network, Site};
use crate::threads::Spawner;

const ACCEPT_PAUSE_MS: u64 = 5; // keeps a lack of file descriptors from spinning

/// Starts to accept connections of `site` for `service`.
pub(crate) fn spawn<S: Service>(
    spawner: &Spawner,
    site: Arc<Site>,
    network: Arc<Network>,
    service: Arc<S>,
) {
    spawner.spawn(accept(spawner.clone(), site, network, service));
}

async fn accept<S: Service>(
    spawner: Spawner,
    site: Arc<Site>,
    network: Arc<Network>,
    service: Arc<S>,
) {
    loop {
        site.until_up().await;
        let Ok(stream) = site.port().accept().await else {
            Timer::after(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            continue;
        };
        let Some(place) = site.admit() else {
            continue;
        };
        let _ = stream.get_ref().set_nodelay(true);
        let connection = Connection {
            stream: TcpStream::from(stream),
            number: place.number(),
            site: Arc::clone(&site),
            network: Arc::clone(&network),
        };
        let service = Arc::clone(&service);
        spawner.spawn(async move {
            let down = connection.site.clone();
            let cut = down.until_down_since(place.number());
            future::or(cut, serve(connection, service.as_ref())).await;
            drop(place);
        });
    }
}
