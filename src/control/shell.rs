//! Starts the control thread and runs its tasks, which do all I/O around the [`Core`].

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use arc_swap::ArcSwap;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::future::block_on;

use super::core::Core;
use super::{
    Command, Control, Settings, appender, commands, follower, heartbeats, snapshots, vm_poller,
};
use crate::config::CommonConfig;
use crate::id::Incarnation;
use crate::membership::Peers;
use crate::services::{Log, VmList};
use crate::view::View;

/// Time between two ticks of the [`Core`], in ms.
const TICK_MS: u64 = 250;

/// State and connections that the tasks of the control thread share.
pub(super) struct Shell<L, V, P> {
    pub(super) core: RefCell<Core>,
    pub(super) view: Arc<ArcSwap<View>>,
    pub(super) log: L,
    pub(super) vms: V,
    pub(super) peers: P,
    /// Holds at most one signal; a full channel means that the appender wakes anyway.
    pub(super) wake_appender: Sender<()>,
    pub(super) appender_woken: Receiver<()>,
}

impl<L, V, P> Shell<L, V, P> {
    /// Publishes a new view and wakes the appender.
    pub(super) fn publish_view(&self) {
        let view = self.core.borrow().view(Instant::now());
        self.view.store(Arc::new(view));
        self.wake_appender();
    }

    /// Wakes the appender, because a record may have been queued.
    pub(super) fn wake_appender(&self) {
        let _ = self.wake_appender.try_send(());
    }
}

/// Starts the control thread with default settings; it ends when the last handle is dropped.
///
/// # Errors
/// Fails if the operating system can't create a thread.
pub fn spawn<L: Log, V: VmList, P: Peers>(
    common: &CommonConfig,
    log: L,
    vms: V,
    peers: P,
) -> Result<Control> {
    let settings = Settings {
        heartbeats: peers.sends_heartbeats(),
        ..Settings::default()
    };
    spawn_with(common, &settings, log, vms, peers)
}

/// Starts the control thread; it ends when the last handle is dropped.
///
/// # Errors
/// Fails if the operating system can't create a thread.
pub fn spawn_with<L: Log, V: VmList, P: Peers>(
    common: &CommonConfig,
    settings: &Settings,
    log: L,
    vms: V,
    peers: P,
) -> Result<Control> {
    let (control, received) = Control::channel();
    let (wake_appender, appender_woken) = async_channel::bounded(1);
    let core = Core::new(common, settings, Incarnation::now(), Instant::now());
    let view = control.view_cell();
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            let shell = Rc::new(Shell {
                core: RefCell::new(core),
                view,
                log,
                vms,
                peers,
                wake_appender,
                appender_woken,
            });
            run(&shell, &received);
        })
        .context("start the control thread")?;
    Ok(control)
}

fn run<L: Log, V: VmList, P: Peers>(shell: &Rc<Shell<L, V, P>>, received: &Receiver<Command>) {
    let executor = LocalExecutor::new();
    executor.spawn(follower::run(Rc::clone(shell))).detach();
    executor.spawn(appender::run(Rc::clone(shell))).detach();
    executor.spawn(snapshots::run(Rc::clone(shell))).detach();
    executor.spawn(vm_poller::run(Rc::clone(shell))).detach();
    executor.spawn(heartbeats::run(Rc::clone(shell))).detach();
    executor.spawn(tick(Rc::clone(shell))).detach();
    block_on(executor.run(commands::run(shell, received)));
}

async fn tick<L, V, P>(shell: Rc<Shell<L, V, P>>) {
    loop {
        shell.core.borrow_mut().tick(Instant::now());
        shell.publish_view();
        Timer::after(Duration::from_millis(TICK_MS)).await;
    }
}
