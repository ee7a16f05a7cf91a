//! Decides which shares of teams' ceilings this process takes from the reserve and returns.
//!
//! A return takes three steps, so that nobody else can use the share while this process
//! still does: the limit is lowered, the traffic threads report that they keep to
//! it, and only then is the transfer proposed.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::FENCE_AFTER_MS;
use super::team_account::{PendingReturn, TeamAccount, TeamQuota};
use crate::id::{Incarnation, MemberId, RecordId, TeamId};
use crate::ledger::{
    AllotmentHolder, DEDUP_WINDOW_OFFSETS, Proposal, State, TransferParty, Verdict,
};

/// A team's requests in this process, as counted by the traffic threads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamDemand {
    /// The team that the requests count for.
    pub team: TeamId,
    /// Requests sent to targets and not ended.
    pub running: u32,
    /// Requests that wait to be sent to a target.
    pub waiting: u32,
}

/// Demand of all teams, counted while the limits of `version` were in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DemandReport {
    /// Version of the limits that the traffic threads kept to.
    pub version: u64,
    /// Demand of each team; teams without any may be left out.
    pub demands: Vec<TeamDemand>,
}

/// A transfer that this process wants to propose.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TransferRequest {
    /// Team whose ceiling is concerned.
    pub team: TeamId,
    /// The [`Proposal::Transfer`] to propose.
    pub proposal: Proposal,
}

/// Shares of all teams' ceilings that this process holds, takes and returns.
#[derive(Debug)]
pub struct QuotaManager {
    own: MemberId,
    version: u64,
    reported_version: Option<u64>,
    accounts: IndexMap<TeamId, TeamAccount>,
    inherited: Option<InheritedShares>,
}

/// Shares that an earlier run of this process held; its requests may still be running.
#[derive(Debug)]
struct InheritedShares {
    incarnation: Incarnation,
    blocked_until: Instant,
    shares: IndexMap<TeamId, u32>,
}

impl QuotaManager {
    /// A manager for a process that holds no shares yet.
    #[must_use]
    pub fn new(own: &MemberId) -> Self {
        Self {
            own: own.clone(),
            version: 0,
            reported_version: None,
            accounts: IndexMap::new(),
            inherited: None,
        }
    }

    /// Version of the limits; raised whenever one is lowered.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Takes over the demand and the version of the limits that the traffic threads report.
    pub fn apply_report(&mut self, report: &DemandReport, now: Instant) {
        self.reported_version = Some(report.version);
        for account in self.accounts.values_mut() {
            account.record_demand(0, 0, now);
        }
        for demand in &report.demands {
            if let Some(account) = self.accounts.get_mut(&demand.team) {
                account.record_demand(demand.running, demand.waiting, now);
            }
        }
    }

    /// Number of a team's requests that this process may have running.
    #[must_use]
    pub fn limit(&self, state: &State, team: &TeamId, now: Instant) -> u32 {
        let returning_amount = self
            .accounts
            .get(team)
            .map_or(0, TeamAccount::returning_amount);
        self.usable_share(state, team, now)
            .saturating_sub(returning_amount)
    }

    /// Share that may be used now: none before other members know this run, and what an
    /// earlier run held only once its requests have surely ended.
    fn usable_share(&self, state: &State, team: &TeamId, now: Instant) -> u32 {
        let Some(inherited) = &self.inherited else {
            return 0;
        };
        let holder = AllotmentHolder::Member(self.own.clone());
        let share = state.share(team, &holder);
        if now >= inherited.blocked_until {
            return share;
        }
        let blocked = inherited.shares.get(team).copied().unwrap_or(0);
        share.saturating_sub(blocked)
    }

    /// Transfers to propose now; `majority_heard` tells whether a majority of the data
    /// centre's members has heard this run.
    pub fn plan_transfers(
        &mut self,
        state: &State,
        incarnation: Incarnation,
        majority_heard: bool,
        now: Instant,
    ) -> Vec<TransferRequest> {
        self.update_inherited(state, incarnation, majority_heard, now);
        if self.registered_incarnation(state) != Some(incarnation) {
            return Vec::new();
        }
        let Some(document) = state.document() else {
            return Vec::new();
        };
        let members = u32::try_from(state.facts().members.len()).unwrap_or(u32::MAX);
        self.accounts
            .retain(|team, _| document.teams.contains_key(team));
        let mut requests = Vec::new();
        for (team, spec) in &document.teams {
            let quota = TeamQuota {
                ceiling: spec.ceiling,
                members,
                held: self.usable_share(state, team, now),
                reserve: state.share(team, &AllotmentHolder::Reserve),
            };
            requests.extend(self.plan_team(state, team, &quota, incarnation, now));
        }
        requests
    }

    fn plan_team(
        &mut self,
        state: &State,
        team: &TeamId,
        quota: &TeamQuota,
        incarnation: Incarnation,
        now: Instant,
    ) -> Option<TransferRequest> {
        let own = AllotmentHolder::Member(self.own.clone());
        let allotment = state.facts().allotments.get(team)?;
        let account = self
            .accounts
            .entry(team.clone())
            .or_insert_with(|| TeamAccount::new(now));
        account.observe_unmet_demand(allotment, &own, now);
        account.cancel_needless_return(quota, now);
        let own_party = TransferParty::Member(self.own.clone(), incarnation);
        if let Some(pending_return) = account.pending_return_mut() {
            let limit_kept = self
                .reported_version
                .is_some_and(|version| version >= pending_return.version);
            let amount = pending_return.amount_to_propose(limit_kept, quota.held)?;
            return Some(transfer_request(
                team,
                own_party,
                TransferParty::Reserve,
                amount,
            ));
        }
        if let Some(amount) = account.amount_to_request(quota, allotment, now) {
            return Some(transfer_request(
                team,
                TransferParty::Reserve,
                own_party,
                amount,
            ));
        }
        if let Some(amount) = account.amount_to_return(quota, allotment) {
            self.version += 1;
            account.start_return(amount, self.version);
        }
        None
    }

    /// Run of this process that is registered; `None` if it is not a member.
    fn registered_incarnation(&self, state: &State) -> Option<Incarnation> {
        let known = state.facts().members.get(&self.own);
        known.map(|known| known.registration.incarnation)
    }

    /// Blocks the shares of an earlier run when this run is first seen to be registered.
    ///
    /// While the log is unavailable this run can't be registered. An earlier run, should it
    /// still exist, then stops using its shares [`FENCE_AFTER_MS`] after a majority has heard
    /// this one.
    fn update_inherited(
        &mut self,
        state: &State,
        incarnation: Incarnation,
        majority_heard: bool,
        now: Instant,
    ) {
        let known = self
            .inherited
            .as_ref()
            .map(|inherited| inherited.incarnation);
        let fence = match self.registered_incarnation(state) {
            Some(registered) if registered == incarnation => Duration::ZERO,
            Some(registered) if registered < incarnation && majority_heard => {
                Duration::from_millis(FENCE_AFTER_MS)
            }
            _ => return,
        };
        if known == Some(incarnation) {
            return;
        }
        let holder = AllotmentHolder::Member(self.own.clone());
        let shares = state.facts().allotments.iter();
        self.inherited = Some(InheritedShares {
            incarnation,
            blocked_until: now + fence + max_request_duration(state),
            shares: shares
                .map(|(team, a)| (team.clone(), a.share(&holder)))
                .collect(),
        });
    }

    /// Records the id under which a transfer was proposed, and the next offset at that time.
    pub fn record_proposed(&mut self, team: &TeamId, id: RecordId, state: &State) {
        if let Some(account) = self.accounts.get_mut(team) {
            account.record_proposed(id, state.offset());
        }
    }

    /// Takes over the verdict on a proposed transfer; other records are ignored.
    pub fn settle(&mut self, id: RecordId, verdict: &Verdict) {
        let accepted = matches!(verdict, Verdict::Accepted(_));
        for account in self.accounts.values_mut() {
            account.settle(id, accepted);
        }
    }

    /// Drops a proposed transfer whose record has surely had no effect.
    pub fn abandon(&mut self, id: RecordId) {
        for account in self.accounts.values_mut() {
            account.settle(id, false);
        }
    }

    /// Settles transfers whose verdict was missed or whose record is too old to be accepted.
    pub fn settle_missed(&mut self, state: &State) {
        for account in self.accounts.values_mut() {
            for pending in account.pending_transfers() {
                let verdict = state.verdict(pending.id);
                let expired = state.offset().0 > pending.proposed_at.0 + DEDUP_WINDOW_OFFSETS;
                if verdict.is_some() || expired {
                    let accepted = matches!(verdict, Some(Verdict::Accepted(_)));
                    account.settle(pending.id, accepted);
                }
            }
        }
    }
}

fn transfer_request(
    team: &TeamId,
    from: TransferParty,
    to: TransferParty,
    amount: u32,
) -> TransferRequest {
    let proposal = Proposal::Transfer {
        team: team.clone(),
        from,
        to,
        amount,
    };
    let team = team.clone();
    TransferRequest { team, proposal }
}

/// Longest time that a request may run under the accepted document; zero without one.
pub(crate) fn max_request_duration(state: &State) -> Duration {
    let services = state
        .document()
        .map(|document| document.fleet.services.values());
    let limits = services
        .into_iter()
        .flatten()
        .map(|service| service.run_limit_ms);
    Duration::from_millis(limits.max().unwrap_or(0))
}

impl PendingReturn {
    /// The amount to transfer, once the traffic threads keep to the lower limit and run no
    /// more requests than it allows.
    fn amount_to_propose(&mut self, limit_kept: bool, held: u32) -> Option<u32> {
        let unused = self.running <= held.saturating_sub(self.amount);
        (self.transfer.is_none() && limit_kept && unused).then_some(self.amount)
    }
}
