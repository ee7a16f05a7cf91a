//! Accepts connections of a site.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::future;

use super::Service;
use super::connection::{Connection, serve};
use crate::fault::{Network, Site};
use crate::thread_pool::Spawner;

const ACCEPT_RETRY_MS: u64 = 5; // avoids a busy loop when file descriptors run out

/// Spawns a task that accepts connections of `site` and serves them with `service`.
pub(crate) fn spawn_server<S: Service>(
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
        site.wait_until_up().await;
        let Ok(stream) = site.listener().accept().await else {
            Timer::after(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            continue;
        };
        let Some(slot) = site.admit() else {
            continue;
        };
        let _ = stream.get_ref().set_nodelay(true);
        let connection = Connection {
            stream: TcpStream::from(stream),
            number: slot.number(),
            site: Arc::clone(&site),
            network: Arc::clone(&network),
        };
        let service = Arc::clone(&service);
        spawner.spawn(async move {
            let site = connection.site.clone();
            let site_down = site.wait_until_down_since(slot.number());
            future::or(site_down, serve(connection, service.as_ref())).await;
            drop(slot);
        });
    }
}
