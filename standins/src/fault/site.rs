//! One listening address with its connections and its faults.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use event_listener::Event;

use super::Fault;
use super::active::{ActiveFaults, WrongAnswerFault};
use crate::serve::Listener;

/// Where a site listens and how many connections it takes.
#[derive(Clone, Debug)]
pub(crate) struct SiteSpec<'a> {
    /// Address; port 0 lets the kernel choose.
    pub(crate) address: SocketAddr,
    /// Data centre, or the name of the platform.
    pub(crate) data_centre: &'a str,
    /// Connections open at a time.
    pub(crate) max_connections: usize,
}

/// A listening address.
#[derive(Debug)]
pub(crate) struct Site {
    listener: Listener,
    data_centre: String,
    max_connections: usize,
    state: Mutex<State>,
    changed: Event,
}

/// Faults and connections of a site.
#[derive(Clone, Debug, Default)]
struct State {
    faults: ActiveFaults,
    powered_off: bool,
    opened: u64,
    open: usize,
    max_open: usize,
    refused: u64,
    silent_before: u64,
    closed_before: u64,
}

/// Connections of a site.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Connections {
    /// Open now.
    pub(crate) open: usize,
    /// Most that were open at a time.
    pub(crate) max_open: usize,
    /// Closed at once because too many were open.
    pub(crate) refused: u64,
}

impl Site {
    /// Starts to listen.
    pub(crate) fn bind(spec: &SiteSpec<'_>) -> io::Result<Arc<Self>> {
        Ok(Arc::new(Self {
            listener: Listener::bind(spec.address)?,
            data_centre: spec.data_centre.to_owned(),
            max_connections: spec.max_connections,
            state: Mutex::default(),
            changed: Event::new(),
        }))
    }

    /// The listening socket.
    pub(crate) const fn listener(&self) -> &Listener {
        &self.listener
    }

    /// Address that it listens on.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Where it is.
    pub(crate) fn data_centre(&self) -> &str {
        &self.data_centre
    }

    /// Counts a new connection; `None` when too many are open.
    pub(crate) fn admit(self: &Arc<Self>) -> Option<ConnectionSlot> {
        let mut state = self.lock();
        if state.open >= self.max_connections || state.is_down() {
            state.refused += 1;
            return None;
        }
        state.open += 1;
        state.max_open = state.max_open.max(state.open);
        state.opened += 1;
        Some(ConnectionSlot {
            site: Arc::clone(self),
            number: state.opened,
        })
    }

    /// Sets a fault.
    pub(crate) fn set(&self, fault: &Fault) -> io::Result<()> {
        self.change(|state| state.set(fault))
    }

    /// Clears all faults; a VM that is off stays off.
    pub(crate) fn clear(&self) -> io::Result<()> {
        self.change(|state| state.faults = ActiveFaults::default())
    }

    /// Switches the VM off or on.
    pub(crate) fn set_powered(&self, on: bool) -> io::Result<()> {
        self.change(|state| state.powered_off = !on)
    }

    /// Faults in force.
    pub(crate) fn faults(&self) -> ActiveFaults {
        self.lock().faults.clone()
    }

    /// Counts of its connections.
    pub(crate) fn connections(&self) -> Connections {
        let state = self.lock();
        Connections {
            open: state.open,
            max_open: state.max_open,
            refused: state.refused,
        }
    }

    /// True when nothing passes on this connection any more.
    pub(crate) fn is_silent(&self, connection: u64) -> bool {
        connection < self.lock().silent_before
    }

    /// True when every call is answered by 503.
    pub(crate) fn is_unavailable(&self) -> bool {
        self.lock().faults.unavailable
    }

    /// Delay of every call, in ms.
    pub(crate) fn slow_ms(&self) -> u64 {
        self.lock().faults.slow_ms
    }

    /// True when the next answer is to be lost; counts it.
    pub(crate) fn take_lost_answer(&self) -> bool {
        self.lock().faults.take_lost_answer()
    }

    /// The wrong answer to give next, if any; counts it.
    pub(crate) fn take_wrong_answer(&self) -> Option<WrongAnswerFault> {
        self.lock().faults.take_wrong_answer()
    }

    /// Waits until the site accepts connections.
    pub(crate) async fn wait_until_up(&self) {
        self.wait_until(|state| !state.is_down()).await;
    }

    /// Waits until the site has been down since the connection was opened.
    pub(crate) async fn wait_until_down_since(&self, connection: u64) {
        self.wait_until(|state| connection < state.closed_before)
            .await;
    }

    /// Waits until every call is answered by 503.
    pub(crate) async fn wait_until_unavailable(&self) {
        self.wait_until(|state| state.faults.unavailable).await;
    }

    /// Waits until the site is not frozen.
    pub(crate) async fn wait_until_unfrozen(&self) {
        self.wait_until(|state| !state.faults.frozen).await;
    }

    async fn wait_until(&self, test: impl Fn(&State) -> bool) {
        while !test(&self.lock()) {
            let changed = self.changed.listen();
            if test(&self.lock()) {
                return;
            }
            changed.await;
        }
    }

    fn change(&self, edit: impl FnOnce(&mut State)) -> io::Result<()> {
        let mut state = self.lock();
        let was_down = state.is_down();
        edit(&mut state);
        let down = state.is_down();
        if down && !was_down {
            state.closed_before = state.opened + 1;
            self.listener.close()?;
        }
        if was_down && !down {
            self.listener.reopen()?;
        }
        drop(state);
        self.changed.notify(usize::MAX);
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    const fn is_down(&self) -> bool {
        self.faults.down || self.powered_off
    }

    fn set(&mut self, fault: &Fault) {
        match fault {
            Fault::Silent => self.silent_before = self.opened + 1,
            other => self.faults.set(other),
        }
    }
}

/// A counted connection; dropping it makes room.
#[derive(Debug)]
pub(crate) struct ConnectionSlot {
    site: Arc<Site>,
    number: u64,
}

impl ConnectionSlot {
    /// Number of the connection at its site, from 1.
    pub(crate) const fn number(&self) -> u64 {
        self.number
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.site.lock().open -= 1;
    }
}
