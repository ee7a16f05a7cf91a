//! Sends heartbeats to other members and takes in their replies.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;

use super::shell::Shell;
use crate::membership::{HEARTBEAT_INTERVAL_MS, Peers};

/// Longest wait for the reply to a heartbeat, in ms.
const REPLY_TIMEOUT_MS: u64 = 1_000;

pub(super) async fn run<L, V, P: Peers>(shell: Rc<Shell<L, V, P>>) {
    while shell.peers.sends_heartbeats() {
        let receivers = shell.core.borrow_mut().heartbeat_receivers();
        for receiver in receivers {
            send_heartbeat(&shell, receiver).await;
        }
        Timer::after(Duration::from_millis(HEARTBEAT_INTERVAL_MS)).await;
    }
}

async fn send_heartbeat<L, V, P: Peers>(shell: &Shell<L, V, P>, address: SocketAddr) {
    let heartbeat = shell.core.borrow_mut().make_heartbeat(Instant::now());
    let timeout = async {
        Timer::after(Duration::from_millis(REPLY_TIMEOUT_MS)).await;
        None
    };
    let answer = future::or(shell.peers.send_heartbeat(address, heartbeat), timeout).await;
    if let Some(answer) = answer {
        shell
            .core
            .borrow_mut()
            .receive_heartbeat(&answer, Instant::now());
    }
}
