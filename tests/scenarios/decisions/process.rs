//! One process: its control state and, in a planner, its claim.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use amaranthwick::config::Common;
use amaranthwick::control::{Core, Settings};
use amaranthwick::dev;
use amaranthwick::id::{Incarnation, MemberId, SectionId};
use amaranthwick::ledger::{Proposal, RoleHolder};
use amaranthwick::planner::Claimant;

/// Time after which a silent planner may be replaced.
const PLANNER_LEASE: Duration = Duration::from_secs(5);

/// Age of the last verified head after which keys may be out of date.
const STALE_AFTER: Duration = Duration::from_secs(5);

/// A process of the script.
pub struct Process {
    pub core: Core,
    pub data_centre: String,
    pub frozen: bool,
    claimant: Option<Claimant>,
}

/// What a process is started as.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessKind {
    Entry,
    Planner,
}

impl Process {
    /// Starts a process without any memory; `run` numbers the starts of the script.
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

    /// Proposes the claim that is due, as the planner does.
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

    /// True while a planner may act.
    pub fn holds_role(&self, now: Instant) -> bool {
        let held = self.planner_holder();
        let claimant = self.claimant.as_ref();
        claimant.is_some_and(|claimant| claimant.holds_role(held.as_ref(), now))
    }

    /// True while keys can be trusted.
    pub fn has_fresh_keys(&self, now: Instant) -> bool {
        let verified = self.core.verified();
        verified.is_some_and(|at| now.saturating_duration_since(at) <= STALE_AFTER)
    }

    pub fn revision(&self, section: &str) -> u64 {
        let sections = &self.core.state().facts().sections;
        let section = sections.get(&SectionId::new(section));
        section.map_or(0, |section| section.revision.0)
    }

    pub fn planner_holder(&self) -> Option<RoleHolder> {
        self.core.state().facts().planner.clone()
    }
}

/// The address of the process that was started as number `run`.
pub fn peer_address(start_number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], start_number))
}

fn common(name: &str, data_centre: &str) -> Common {
    dev::common(name, data_centre)
}
