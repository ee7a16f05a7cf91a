//! A simulated process: its control core and, for a planner, its claim of the planner's role.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use amaranthwick::config::CommonConfig;
use amaranthwick::control::{Core, Settings};
use amaranthwick::dev;
use amaranthwick::id::{Incarnation, MemberId, SectionId};
use amaranthwick::ledger::{Proposal, RoleHolder};
use amaranthwick::planner::Claimant;

/// Time without a renewal after which another planner may claim the role.
const PLANNER_LEASE: Duration = Duration::from_secs(5);

/// Age of the last verified log head beyond which keys may be out of date.
const STALE_AFTER: Duration = Duration::from_secs(5);

/// A simulated process of the script.
pub struct Process {
    pub core: Core,
    pub data_centre: String,
    pub frozen: bool,
    claimant: Option<Claimant>,
}

/// The daemon that a simulated process stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessKind {
    Entry,
    Planner,
}

impl Process {
    /// Starts a process with empty state; `start_number` counts the starts in the script and gives
    /// the incarnation and the peer address.
    pub fn start(
        kind: ProcessKind,
        name: &str,
        data_centre: &str,
        start_number: u16,
        now: Instant,
    ) -> Self {
        let settings = Settings {
            heartbeats: kind == ProcessKind::Entry,
            ..Settings::default()
        };
        let common = common(name, data_centre);
        let run_number = Incarnation(u64::from(start_number));
        let mut core = Core::new(&common, &settings, run_number, now);
        if kind == ProcessKind::Entry {
            core.set_peer_address(peer_address(start_number), now);
        }
        let claimant = Claimant::new(MemberId::new(name), PLANNER_LEASE);
        Self {
            core,
            data_centre: data_centre.to_owned(),
            frozen: false,
            claimant: (kind == ProcessKind::Planner).then_some(claimant),
        }
    }

    /// Proposes a claim of the planner's role if one is due; does nothing in an entry.
    pub fn propose_due_claim(&mut self, now: Instant) {
        let held = self.planner_holder();
        let Some(claimant) = &mut self.claimant else {
            return;
        };
        if let Some(claim) = claimant.next_claim(held.as_ref(), now) {
            let (answer, _) = async_channel::bounded(1);
            self.core.propose(Proposal::Claim(claim), answer, now);
        }
    }

    /// True while this process is a planner and may act in its role.
    pub fn holds_role(&self, now: Instant) -> bool {
        let held = self.planner_holder();
        let claimant = self.claimant.as_ref();
        claimant.is_some_and(|claimant| claimant.holds_role(held.as_ref(), now))
    }

    /// True while the last verified log head is at most [`STALE_AFTER`] old.
    pub fn has_fresh_keys(&self, now: Instant) -> bool {
        let verified = self.core.verified();
        verified.is_some_and(|at| now.saturating_duration_since(at) <= STALE_AFTER)
    }

    /// Revision of a section in this process's state; 0 if it has none.
    pub fn revision(&self, section: &str) -> u64 {
        let sections = &self.core.state().facts().sections;
        let section = sections.get(&SectionId::new(section));
        section.map_or(0, |section| section.revision.0)
    }

    /// Holder of the planner's role in this process's state.
    pub fn planner_holder(&self) -> Option<RoleHolder> {
        self.core.state().facts().planner.clone()
    }
}

/// Peer address of the process with this start number, which is its port.
pub fn peer_address(start_number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], start_number))
}

fn common(name: &str, data_centre: &str) -> CommonConfig {
    dev::common_config(name, data_centre)
}
