//! Polls the platform's VM list.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;

use super::Backoff;
use super::shell::Shell;
use crate::platform::VmList;

/// Time between two reads of the list, in ms.
const POLL_MS: u64 = 1_000;

pub(super) async fn run<L, V: VmList, P>(shell: Rc<Shell<L, V, P>>) {
    let mut backoff = Backoff::default();
    loop {
        match shell.vms.list().await {
            Ok(vms) => {
                backoff.reset();
                shell.core.borrow_mut().set_vms(vms);
                shell.refresh();
                Timer::after(Duration::from_millis(POLL_MS)).await;
            }
            Err(error) => {
                spdlog::warn!("vm_list_failed", kv: { error = error.to_string() });
                Timer::after(backoff.grow()).await;
            }
        }
    }
}
