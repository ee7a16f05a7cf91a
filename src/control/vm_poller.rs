//! Polls the platform's VM list.

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;

use super::Backoff;
use super::shell::Shell;
use crate::services::{Listing, VmList};

/// Time between two polls of the list, in ms.
const POLL_MS: u64 = 1_000;

pub(super) async fn run<L, V: VmList, P>(shell: Rc<Shell<L, V, P>>) {
    let mut backoff = Backoff::default();
    loop {
        let known = shell.core.borrow().inventory.poll_since();
        match shell.vms.list(known).await {
            Ok(listing) => {
                backoff.reset();
                apply(&shell, listing);
                Timer::after(Duration::from_millis(POLL_MS)).await;
            }
            Err(error) => {
                spdlog::warn!("vm_list_failed", kv: { error = error.to_string() });
                Timer::after(backoff.next_wait()).await;
            }
        }
    }
}

fn apply<L, V, P>(shell: &Shell<L, V, P>, listing: Listing) {
    let before = shell.core.borrow().inventory.version();
    let applied = shell
        .core
        .borrow_mut()
        .apply_vm_list(listing, Instant::now());
    if let Err(fault) = applied {
        spdlog::warn!("vm_list_refused", kv: { fault = fault.to_string() });
    }
    if shell.core.borrow().inventory.version() != before {
        shell.publish_view();
    }
}
