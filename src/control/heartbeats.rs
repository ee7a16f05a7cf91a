//! Sends heartbeats to the other processes of the data centre.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;

use super::shell::Shell;
use crate::membership::Peers;

/// Time between two heartbeats to a member, in ms.
const BEAT_MS: u64 = 1_000;

pub(super) async fn run<L, V, P: Peers>(shell: Rc<Shell<L, V, P>>) {
    loop {
        let now = Instant::now();
        for to in receivers(&shell) {
            let heartbeat = shell.core.borrow().heartbeat(now);
            let silence = async {
                Timer::after(Duration::from_millis(BEAT_MS)).await;
                None
            };
            if let Some(answer) = future::or(shell.peers.beat(to, &heartbeat), silence).await {
                let mut core = shell.core.borrow_mut();
                core.beats = true;
                core.hear(&answer, Instant::now());
            }
        }
        Timer::after(Duration::from_millis(BEAT_MS)).await;
    }
}

fn receivers<L, V, P>(shell: &Shell<L, V, P>) -> Vec<SocketAddr> {
    let core = shell.core.borrow();
    let own = &core.common;
    core.state
        .facts()
        .members
        .values()
        .filter(|member| member.data_centre == own.data_centre && member.id != own.id)
        .map(|member| member.peer)
        .collect()
}
