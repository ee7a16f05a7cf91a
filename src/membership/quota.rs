//! Decides which parts of teams' ceilings this process takes and gives back.
//!
//! A part is given in three steps, so that nobody else can use it while this process
//! still does: the limit is lowered, the traffic threads report that they keep to
//! it, and only then is the transfer proposed.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::FENCE_MS;
use super::account::{Account, Giving, Size};
use crate::id::{Incarnation, MemberId, RecordId, TeamId};
use crate::ledger::{
    AllotmentHolder, DEDUP_WINDOW_OFFSETS, Proposal, State, TransferParty, Verdict,
};

/// What the traffic threads run and hold back for a team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// The team.
    pub team: TeamId,
    /// Requests sent to targets and not ended.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// Demand of all teams, counted while the limits of `version` were kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Version of the limits that were kept.
    pub version: u64,
    /// Teams without demand may be left out.
    pub demands: Vec<Demand>,
}

/// A wanted transfer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The team.
    pub team: TeamId,
    /// What to propose.
    pub proposal: Proposal,
}

/// Accounts of this process with all teams.
#[derive(Debug)]
pub struct Quota {
    own: MemberId,
    version: u64,
    reported: Option<u64>,
    accounts: IndexMap<TeamId, Account>,
    inherited: Option<Inheritance>,
}

/// What an earlier run of the process held; its requests may still be running.
#[derive(Debug)]
struct Inheritance {
    run: Incarnation,
    until: Instant,
    shares: IndexMap<TeamId, u32>,
}

impl Quota {
    /// A process that holds nothing.
    #[must_use]
    pub fn open(own: &MemberId) -> Self {
        Self {
            own: own.clone(),
            version: 0,
            reported: None,
            accounts: IndexMap::new(),
            inherited: None,
        }
    }

    /// Changes whenever a limit is lowered.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Notes what the traffic threads report.
    pub fn report(&mut self, report: &Report, now: Instant) {
        self.reported = Some(report.version);
        for account in self.accounts.values_mut() {
            account.demand(0, 0, now);
        }
        for demand in &report.demands {
            if let Some(account) = self.accounts.get_mut(&demand.team) {
                account.demand(demand.running, demand.waiting, now);
            }
        }
    }

    /// Requests of a team that this process may have running.
    #[must_use]
    pub fn limit(&self, state: &State, team: &TeamId, now: Instant) -> u32 {
        let given = self.accounts.get(team).map_or(0, Account::given);
        self.held(state, team, now).saturating_sub(given)
    }

    /// What may be used now: nothing before this run is known to others, and what an
    /// earlier run held only once its requests have surely ended.
    fn held(&self, state: &State, team: &TeamId, now: Instant) -> u32 {
        let Some(inherited) = &self.inherited else {
            return 0;
        };
        let holder = AllotmentHolder::Member(self.own.clone());
        let share = state.share(team, &holder);
        if now >= inherited.until {
            return share;
        }
        let blocked = inherited.shares.get(team).copied().unwrap_or(0);
        share.saturating_sub(blocked)
    }

    /// Transfers to propose now; `heard` tells whether most members of the data centre
    /// have heard this run.
    pub fn step(&mut self, state: &State, run: Incarnation, heard: bool, now: Instant) -> Vec<Ask> {
        self.inherit(state, run, heard, now);
        if self.shown(state) != Some(run) {
            return Vec::new();
        }
        let Some(document) = state.document() else {
            return Vec::new();
        };
        let members = u32::try_from(state.facts().members.len()).unwrap_or(u32::MAX);
        self.accounts
            .retain(|team, _| document.teams.contains_key(team));
        let mut asks = Vec::new();
        for (team, spec) in &document.teams {
            let size = Size {
                ceiling: spec.ceiling,
                members,
                held: self.held(state, team, now),
                reserve: state.share(team, &AllotmentHolder::Reserve),
            };
            asks.extend(self.step_team(state, team, &size, run, now));
        }
        asks
    }

    fn step_team(
        &mut self,
        state: &State,
        team: &TeamId,
        size: &Size,
        run: Incarnation,
        now: Instant,
    ) -> Option<Ask> {
        let own = AllotmentHolder::Member(self.own.clone());
        let allotment = state.facts().allotments.get(team)?;
        let account = self
            .accounts
            .entry(team.clone())
            .or_insert_with(|| Account::open(now));
        account.note_want(allotment, &own, now);
        account.reconsider(size, now);
        let me = TransferParty::Member(self.own.clone(), run);
        if let Some(giving) = account.giving_mut() {
            let kept = self
                .reported
                .is_some_and(|version| version >= giving.version);
            let amount = giving.ready(kept, size.held)?;
            return Some(ask(team, me, TransferParty::Reserve, amount));
        }
        if let Some(amount) = account.take(size, allotment, now) {
            return Some(ask(team, TransferParty::Reserve, me, amount));
        }
        if let Some(amount) = account.surplus(size, allotment) {
            self.version += 1;
            account.give(amount, self.version);
        }
        None
    }

    /// The run of this process that the fold shows.
    fn shown(&self, state: &State) -> Option<Incarnation> {
        let known = state.facts().members.get(&self.own);
        known.map(|known| known.registration.incarnation)
    }

    /// The first time that the fold shows this run, all shares are of an earlier one.
    ///
    /// While the log is away it can't show it. Then an earlier run, should it still be
    /// there, stops by itself once most members have heard the newer one.
    fn inherit(&mut self, state: &State, run: Incarnation, heard: bool, now: Instant) {
        let known = self.inherited.as_ref().map(|inherited| inherited.run);
        let fence = match self.shown(state) {
            Some(shown) if shown == run => Duration::ZERO,
            Some(shown) if shown < run && heard => Duration::from_millis(FENCE_MS),
            _ => return,
        };
        if known == Some(run) {
            return;
        }
        let holder = AllotmentHolder::Member(self.own.clone());
        let shares = state.facts().allotments.iter();
        self.inherited = Some(Inheritance {
            run,
            until: now + fence + longest_run(state),
            shares: shares
                .map(|(team, a)| (team.clone(), a.share(&holder)))
                .collect(),
        });
    }

    /// Notes under which id a transfer was proposed, and what the fold had seen then.
    pub fn proposed(&mut self, team: &TeamId, id: RecordId, state: &State) {
        if let Some(account) = self.accounts.get_mut(team) {
            account.proposed(id, state.offset());
        }
    }

    /// Notes a verdict.
    pub fn settle(&mut self, id: RecordId, verdict: &Verdict) {
        let accepted = matches!(verdict, Verdict::Accepted(_));
        for account in self.accounts.values_mut() {
            account.settle(id, accepted);
        }
    }

    /// The record of a transfer has surely had no effect.
    pub fn abandon(&mut self, id: RecordId) {
        for account in self.accounts.values_mut() {
            account.settle(id, false);
        }
    }

    /// Looks for verdicts that were missed, and for records too old to be accepted.
    pub fn review(&mut self, state: &State) {
        for account in self.accounts.values_mut() {
            for pending in account.pending() {
                let verdict = state.verdict(pending.id);
                let expired = state.offset().0 > pending.after.0 + DEDUP_WINDOW_OFFSETS;
                if verdict.is_some() || expired {
                    let accepted = matches!(verdict, Some(Verdict::Accepted(_)));
                    account.settle(pending.id, accepted);
                }
            }
        }
    }
}

fn ask(team: &TeamId, from: TransferParty, to: TransferParty, amount: u32) -> Ask {
    let proposal = Proposal::Transfer {
        team: team.clone(),
        from,
        to,
        amount,
    };
    let team = team.clone();
    Ask { team, proposal }
}

/// Longest time that a request may run under the accepted document.
pub(crate) fn longest_run(state: &State) -> Duration {
    let services = state
        .document()
        .map(|document| document.fleet.services.values());
    let limits = services
        .into_iter()
        .flatten()
        .map(|service| service.run_limit_ms);
    Duration::from_millis(limits.max().unwrap_or(0))
}

impl Giving {
    /// The amount to transfer, once the traffic threads keep to the lower limit.
    fn ready(&mut self, kept: bool, held: u32) -> Option<u32> {
        let unused = self.running <= held.saturating_sub(self.amount);
        (self.record.is_none() && kept && unused).then_some(self.amount)
    }
}
