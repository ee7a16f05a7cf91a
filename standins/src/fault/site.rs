//! A listening address with its connections and faults.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use event_listener::Event;

use super::Fault;
use super::active::{ActiveFaults, WrongAnswerFault};
use crate::serve::Listener;

/// Configuration of a site.
#[derive(Clone, Debug)]
pub(crate) struct SiteSpec<'a> {
    /// Address to listen on; with port 0 the kernel assigns a port.
    pub(crate) address: SocketAddr,
    /// Data centre of the site, or [`PLATFORM`](super::PLATFORM).
    pub(crate) data_centre: &'a str,
    /// Maximum number of open connections.
    pub(crate) max_connections: usize,
}

/// A listening address at which faults can be injected.
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
    /// Connections opened so far, which is the number of the latest one.
    opened: u64,
    open: usize,
    max_open: usize,
    refused: u64,
    /// Connections with a lower number are silent.
    silent_before: u64,
    /// Connections with a lower number were open when the site last went down.
    closed_before: u64,
}

/// Counters of the connections of a site.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Connections {
    /// Connections open now.
    pub(crate) open: usize,
    /// Peak number of open connections.
    pub(crate) max_open: usize,
    /// Connections closed on accept because too many were open or the site was down.
    pub(crate) refused: u64,
}

impl Site {
    /// Starts to listen on the address of `spec`.
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

    /// Address that the site listens on.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Data centre of the site, or [`PLATFORM`](super::PLATFORM).
    pub(crate) fn data_centre(&self) -> &str {
        &self.data_centre
    }

    /// Counts a new connection; `None` if too many are open or the site is down.
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

    /// Adds a fault; one of the same kind is replaced.
    pub(crate) fn set(&self, fault: &Fault) -> io::Result<()> {
        self.change(|state| state.set(fault))
    }

    /// Clears all faults. A site whose VM is powered off stays down, and silent connections stay
    /// silent.
    pub(crate) fn clear(&self) -> io::Result<()> {
        self.change(|state| state.faults = ActiveFaults::default())
    }

    /// Powers the VM of the site on or off.
    pub(crate) fn set_powered(&self, on: bool) -> io::Result<()> {
        self.change(|state| state.powered_off = !on)
    }

    /// The active faults.
    pub(crate) fn faults(&self) -> ActiveFaults {
        self.lock().faults.clone()
    }

    /// Counters of the site's connections.
    pub(crate) fn connections(&self) -> Connections {
        let state = self.lock();
        Connections {
            open: state.open,
            max_open: state.max_open,
            refused: state.refused,
        }
    }

    /// True if [`Fault::Silent`] affects this connection.
    pub(crate) fn is_silent(&self, connection: u64) -> bool {
        connection < self.lock().silent_before
    }

    /// True while every request is answered with 503.
    pub(crate) fn is_unavailable(&self) -> bool {
        self.lock().faults.unavailable
    }

    /// Delay of every request, in ms; 0 for none.
    pub(crate) fn slow_ms(&self) -> u64 {
        self.lock().faults.slow_ms
    }

    /// True if the next response is to be dropped; counts one hit of the fault.
    pub(crate) fn take_lost_answer(&self) -> bool {
        self.lock().faults.take_lost_answer()
    }

    /// The fault to apply to the next response, if any; counts one hit of the fault.
    pub(crate) fn take_wrong_answer(&self) -> Option<WrongAnswerFault> {
        self.lock().faults.take_wrong_answer()
    }

    /// Waits until the site accepts connections.
    pub(crate) async fn wait_until_up(&self) {
        self.wait_until(|state| !state.is_down()).await;
    }

    /// Waits until the site has gone down at any time since the connection was opened.
    pub(crate) async fn wait_until_down_since(&self, connection: u64) {
        self.wait_until(|state| connection < state.closed_before)
            .await;
    }

    /// Waits until every request is answered with 503.
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

/// Counts one connection as open until dropped.
#[derive(Debug)]
pub(crate) struct ConnectionSlot {
    site: Arc<Site>,
    number: u64,
}

impl ConnectionSlot {
    /// Sequence number of the connection at its site, from 1.
    pub(crate) const fn number(&self) -> u64 {
        self.number
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.site.lock().open -= 1;
    }
}
