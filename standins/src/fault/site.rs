//! One listening address with its connections and its faults.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use event_listener::Event;

use super::Fault;
use super::faults::{Faults, Wrong};
use crate::serve::Port;

/// Where a site listens and how many connections it takes.
#[derive(Clone, Debug)]
pub(crate) struct SiteSpec<'a> {
    /// Address; port 0 lets the kernel choose.
    pub(crate) address: SocketAddr,
    /// Data centre, or the name of the platform.
    pub(crate) data_centre: &'a str,
    /// Connections open at a time.
    pub(crate) connections: usize,
}

/// A listening address.
#[derive(Debug)]
pub(crate) struct Site {
    port: Port,
    data_centre: String,
    connections: usize,
    state: Mutex<State>,
    changed: Event,
}

/// Faults and connections of a site.
#[derive(Clone, Debug, Default)]
struct State {
    faults: Faults,
    powered_off: bool,
    opened: u64,
    open: usize,
    most_open: usize,
    turned_away: u64,
    silent_below: u64,
    cut_below: u64,
}

/// Connections of a site.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Connections {
    /// Open now.
    pub(crate) open: usize,
    /// Most that were open at a time.
    pub(crate) most: usize,
    /// Closed at once because too many were open.
    pub(crate) refused: u64,
}

impl Site {
    /// Starts to listen.
    pub(crate) fn bind(spec: &SiteSpec<'_>) -> io::Result<Arc<Self>> {
        Ok(Arc::new(Self {
            port: Port::bind(spec.address)?,
            data_centre: spec.data_centre.to_owned(),
            connections: spec.connections,
            state: Mutex::default(),
            changed: Event::new(),
        }))
    }

    /// The listening socket.
    pub(crate) const fn port(&self) -> &Port {
        &self.port
    }

    /// Address that it listens on.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// Where it is.
    pub(crate) fn data_centre(&self) -> &str {
        &self.data_centre
    }

    /// Counts a new connection; `None` when too many are open.
    pub(crate) fn admit(self: &Arc<Self>) -> Option<Place> {
        let mut state = self.lock();
        if state.open >= self.connections || state.is_down() {
            state.turned_away += 1;
            return None;
        }
        state.open += 1;
        state.most_open = state.most_open.max(state.open);
        state.opened += 1;
        Some(Place {
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
        self.change(|state| state.faults = Faults::default())
    }

    /// Switches the VM off or on.
    pub(crate) fn set_powered(&self, on: bool) -> io::Result<()> {
        self.change(|state| state.powered_off = !on)
    }

    /// Faults in force.
    pub(crate) fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Counts of its connections.
    pub(crate) fn connections(&self) -> Connections {
        let state = self.lock();
        Connections {
            open: state.open,
            most: state.most_open,
            refused: state.turned_away,
        }
    }

    /// True when nothing passes on this connection any more.
    pub(crate) fn is_silent(&self, connection: u64) -> bool {
        connection < self.lock().silent_below
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
    pub(crate) fn take_lost(&self) -> bool {
        self.lock().faults.take_lost()
    }

    /// The wrong answer to give next, if any; counts it.
    pub(crate) fn take_wrong(&self) -> Option<Wrong> {
        self.lock().faults.take_wrong()
    }

    /// Waits until the site accepts connections.
    pub(crate) async fn until_up(&self) {
        self.until(|state| !state.is_down()).await;
    }

    /// Waits until the site has been down since the connection was opened.
    pub(crate) async fn until_down_since(&self, connection: u64) {
        self.until(|state| connection < state.cut_below).await;
    }

    /// Waits until every call is answered by 503.
    pub(crate) async fn until_unavailable(&self) {
        self.until(|state| state.faults.unavailable).await;
    }

    /// Waits until the site is not frozen.
    pub(crate) async fn until_thawed(&self) {
        self.until(|state| !state.faults.frozen).await;
    }

    async fn until(&self, test: impl Fn(&State) -> bool) {
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
            state.cut_below = state.opened + 1;
            self.port.close()?;
        }
        if was_down && !down {
            self.port.reopen()?;
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
            Fault::Silent => self.silent_below = self.opened + 1,
            lasting => self.faults.set(lasting),
        }
    }
}

/// A counted connection; dropping it makes room.
#[derive(Debug)]
pub(crate) struct Place {
    site: Arc<Site>,
    number: u64,
}

impl Place {
    /// Number of the connection at its site, from 1.
    pub(crate) const fn number(&self) -> u64 {
        self.number
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.site.lock().open -= 1;
    }
}
