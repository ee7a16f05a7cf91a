//! Runs the control thread's tasks; all I/O happens here and in the tasks.

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
    Command, Control, Settings, commands, follower, heartbeats, publisher, snapshots, vms,
};
use crate::config::Common;
use crate::id::Incarnation;
use crate::membership::Peers;
use crate::services::{Log, VmList};
use crate::view::View;

/// Time between two looks at deadlines and members, in ms.
const TICK_MS: u64 = 250;

/// What the tasks of the control thread share.
pub(super) struct Shell<L, V, P> {
    pub(super) core: RefCell<Core>,
    pub(super) view: Arc<ArcSwap<View>>,
    pub(super) log: L,
    pub(super) vms: V,
    pub(super) peers: P,
    pub(super) kick: Sender<()>,
    pub(super) kicked: Receiver<()>,
}

impl<L, V, P> Shell<L, V, P> {
    /// Publishes what has changed and wakes the publisher of records.
    pub(super) fn refresh(&self) {
        let view = self.core.borrow().view(Instant::now());
        self.view.store(Arc::new(view));
        self.kick();
    }

    /// Wakes the publisher of records.
    pub(super) fn kick(&self) {
        let _ = self.kick.try_send(());
    }
}

/// Starts the control thread with default settings; it ends when the last handle is dropped.
///
/// # Errors
/// Fails when the operating system refuses a thread.
pub fn spawn<L: Log, V: VmList, P: Peers>(
    common: &Common,
    log: L,
    vms: V,
    peers: P,
) -> Result<Control> {
    let settings = Settings {
        beats: peers.sends_heartbeats(),
        ..Settings::default()
    };
    spawn_with(common, &settings, log, vms, peers)
}

/// Starts the control thread; it ends when the last handle is dropped.
///
/// # Errors
/// Fails when the operating system refuses a thread.
pub fn spawn_with<L: Log, V: VmList, P: Peers>(
    common: &Common,
    settings: &Settings,
    log: L,
    vms: V,
    peers: P,
) -> Result<Control> {
    let (control, received) = Control::channel();
    let (kick, kicked) = async_channel::bounded(1);
    let core = Core::open(common, settings, Incarnation::now(), Instant::now());
    let view = control.shared();
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            let shell = Rc::new(Shell {
                core: RefCell::new(core),
                view,
                log,
                vms,
                peers,
                kick,
                kicked,
            });
            run(&shell, &received);
        })
        .context("start the control thread")?;
    Ok(control)
}

fn run<L: Log, V: VmList, P: Peers>(shell: &Rc<Shell<L, V, P>>, received: &Receiver<Command>) {
    let executor = LocalExecutor::new();
    executor.spawn(follower::run(Rc::clone(shell))).detach();
    executor.spawn(publisher::run(Rc::clone(shell))).detach();
    executor.spawn(snapshots::run(Rc::clone(shell))).detach();
    executor.spawn(vms::run(Rc::clone(shell))).detach();
    executor.spawn(heartbeats::run(Rc::clone(shell))).detach();
    executor.spawn(tick(Rc::clone(shell))).detach();
    block_on(executor.run(commands::run(shell, received)));
}

async fn tick<L, V, P>(shell: Rc<Shell<L, V, P>>) {
    loop {
        shell.core.borrow_mut().tick(Instant::now());
        shell.refresh();
        Timer::after(Duration::from_millis(TICK_MS)).await;
    }
}
