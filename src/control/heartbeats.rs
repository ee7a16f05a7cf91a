//! Sends heartbeats to other processes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;

use super::shell::Shell;
use crate::membership::{HEARTBEAT_INTERVAL_MS, Peers};

/// Longest wait for an answer, in ms.
const ANSWER_MS: u64 = 1_000;

pub(super) async fn run<L, V, P: Peers>(shell: Rc<Shell<L, V, P>>) {
    while shell.peers.sends_heartbeats() {
        let receivers = shell.core.borrow_mut().receivers();
        for receiver in receivers {
            beat(&shell, receiver).await;
        }
        Timer::after(Duration::from_millis(HEARTBEAT_INTERVAL_MS)).await;
    }
}

async fn beat<L, V, P: Peers>(shell: &Shell<L, V, P>, to: SocketAddr) {
    let heartbeat = shell.core.borrow_mut().heartbeat(Instant::now());
    let silence = async {
        Timer::after(Duration::from_millis(ANSWER_MS)).await;
        None
    };
    let answer = future::or(shell.peers.send_heartbeat(to, heartbeat), silence).await;
    if let Some(answer) = answer {
        shell.core.borrow_mut().hear(&answer, Instant::now());
    }
}
