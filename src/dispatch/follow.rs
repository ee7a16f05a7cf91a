//! Follows the stream, the operators and the list of targets.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;

use super::services::{OperatorChange, Page, ReadOutcome, Services, Snapshot, TargetChange};
use super::state::{Shared, State};
use crate::scheduler::{Change, Event, JobTable, Member, Millis, Record, leader_event};

/// Time that the store may wait for a record, in ms; short enough to notice its silence.
const READ_WAIT_MS: u64 = 500;

/// Pause of a follower after it has read something, in ms: one read then brings more.
const FOLLOWER_PAUSE_MS: u64 = 250;

/// Pause of a leader after it has read something, in ms: its own records come back, too.
const LEADER_PAUSE_MS: u64 = 30;

/// Pause after a read that failed, in ms.
const FAILED_PAUSE_MS: u64 = 100;

/// Time that the store may wait for a change of the operators, in ms.
const OPERATOR_WAIT_MS: u64 = 2_000;

/// Pause after a change of the operators was read, in ms: of those in quick succession
/// fewer are read by themselves, and all are in force well within two seconds.
const OPERATOR_PAUSE_MS: u64 = 500;

/// Pause between two reads of the list of targets, in ms; heartbeats come all the time.
const TARGETS_PAUSE_MS: u64 = 200;

/// Pause between two looks whether this process leads, in ms.
const NOT_LEADING_PAUSE_MS: u64 = 200;

/// Folds the stream of records for as long as the process runs.
pub(super) async fn records<S: Services>(shared: Arc<Shared<S>>) {
    let mut feed = FeedStatus::new("records");
    loop {
        let next = shared.lock().next_offset;
        let Some(from) = next else {
            load(&shared, &mut feed).await;
            announce_address(&shared).await;
            continue;
        };
        match shared
            .services
            .read_records(from, feed.wait_ms(READ_WAIT_MS))
            .await
        {
            ReadOutcome::Read(page) => {
                feed.read_succeeded();
                let any_changes = !page.changes.is_empty();
                let leads = apply_page(&shared, from, page);
                shared.wake();
                if any_changes {
                    let pause_ms = if leads {
                        LEADER_PAUSE_MS
                    } else {
                        FOLLOWER_PAUSE_MS
                    };
                    pause_or(pause_ms, shared.wait_for_read_request()).await;
                }
            }
            ReadOutcome::Expired => {
                spdlog::warn!("records_expired", kv: { from });
                let mut state = shared.lock();
                if state.next_offset == Some(from) {
                    state.step_down("records expired");
                }
            }
            ReadOutcome::Failed(cause) => feed.read_failed(&cause).await,
        }
    }
}

async fn load<S: Services>(shared: &Shared<S>, feed: &mut FeedStatus) {
    match shared.services.load_snapshot().await {
        ReadOutcome::Read(Snapshot { changes, next }) => {
            feed.read_succeeded();
            let mut table = JobTable::default();
            let count = changes.len();
            for change in changes {
                table.apply(change);
            }
            spdlog::info!("records_loaded", kv: { records = count, jobs = table.len(), next });
            let now = shared.clock.now();
            let mut state = shared.lock();
            if state.leader.is_some() {
                // A claim was confirmed meanwhile, for the table as it was.
                state.step_down("records loaded during a claim");
                return;
            }
            state.table = table;
            state.next_offset = Some(next);
            // The holder gets its time from here on, if it lives.
            state.election.caught_up(now);
        }
        ReadOutcome::Expired => {}
        ReadOutcome::Failed(cause) => feed.read_failed(&cause).await,
    }
}

/// Tells the others where this process is, if they don't know.
async fn announce_address<S: Services>(shared: &Shared<S>) {
    let settings = &shared.settings;
    let known = {
        let state = shared.lock();
        let others = state.table.other_addresses(&settings.member);
        shared.services.set_peers(others);
        state.next_offset.is_none()
            || state.table.member_address(&settings.member) == Some(settings.peer)
    };
    if known {
        return;
    }
    let member = Member {
        name: settings.member.clone(),
        address: settings.peer,
    };
    let records = [Record::Member(member)];
    let appended = shared.services.append(&records, &[], None, None).await;
    spdlog::info!("introduced", kv: { member = settings.member.as_str(), answer = format!("{appended:?}") });
}

/// Applies a page; returns whether this process leads.
fn apply_page<S: Services>(shared: &Shared<S>, from: u64, page: Page) -> bool {
    let now = shared.clock.now();
    let mut state = shared.lock();
    if state.next_offset != Some(from) {
        return false;
    }
    let mut members = false;
    for change in page.changes {
        members |= matches!(&change, Change::Put(Record::Member(_)));
        apply_change(&mut state, change, now);
    }
    if members {
        let others = state.table.other_addresses(&shared.settings.member);
        shared.services.set_peers(others);
    }
    if state.next_offset.is_none() {
        return false;
    }
    state.next_offset = Some(page.next);
    if page.next >= page.end {
        state.read_at = Some(now);
        state.election.caught_up(now);
    }
    state.leader.is_some()
}

fn apply_change(state: &mut State, change: Change, now: Millis) {
    if let Change::Put(Record::Holder(_) | Record::Progress(..) | Record::Wave(..)) = &change {
        state.election.leader_seen(now);
    }
    if let Change::Put(Record::Holder(holder)) = &change {
        let own = state.leader.as_ref().map(crate::scheduler::Leader::epoch);
        if own.is_some_and(|epoch| holder.epoch > epoch) {
            state.step_down("another process claimed the role");
            return;
        }
        if own == Some(holder.epoch) {
            state.read_back_batch = holder.batch;
        }
    }
    // The leader's own table is ahead of what it has stored.
    let own = matches!(
        &change,
        Change::Put(Record::Progress(..) | Record::Wave(..))
    );
    if own && state.leader.is_some() {
        return;
    }
    let event = leader_event(&change);
    state.table.apply(change);
    if let Some(event) = event {
        state.notify_leader(event, now);
    }
}

/// Follows what the operators ask for.
pub(super) async fn operator<S: Services>(shared: Arc<Shared<S>>) {
    let mut feed = FeedStatus::new("operator");
    let mut cursor = None;
    loop {
        match shared
            .services
            .operator_changes(cursor, feed.wait_ms(OPERATOR_WAIT_MS))
            .await
        {
            ReadOutcome::Read((changes, next)) => {
                feed.read_succeeded();
                cursor = Some(next);
                let any_changes = !changes.is_empty();
                for change in changes {
                    apply_operator_change(&shared, change);
                }
                shared.wake();
                if any_changes {
                    Timer::after(Duration::from_millis(OPERATOR_PAUSE_MS)).await;
                }
            }
            ReadOutcome::Expired => cursor = None,
            ReadOutcome::Failed(cause) => {
                // Versions that were missed are of no use; the newest is loaded.
                cursor = None;
                feed.read_failed(&cause).await;
            }
        }
    }
}

fn apply_operator_change<S>(shared: &Shared<S>, change: OperatorChange) {
    let now = shared.clock.now();
    let mut state = shared.lock();
    match change {
        OperatorChange::Policy(policy) if policy.version > state.policy.version => {
            spdlog::info!("policy_adopted", kv: {
                version = policy.version, before = state.policy.version,
                queues = policy.queues.len(), keys = policy.api_keys.len()
            });
            state.policy = Arc::clone(&policy);
            state.notify_leader(Event::PolicyChanged(policy), now);
        }
        OperatorChange::Policy(_) => {}
        OperatorChange::Wave(wave) => {
            state.waves.insert(wave.number, wave.clone());
            state.notify_leader(Event::WaveRequested(wave), now);
        }
    }
}

/// Follows the list of targets while this process leads.
pub(super) async fn targets<S: Services>(shared: Arc<Shared<S>>) {
    let mut feed = FeedStatus::new("targets");
    let mut cursor = None;
    loop {
        if shared.lock().leader.is_none() {
            cursor = None;
            Timer::after(Duration::from_millis(NOT_LEADING_PAUSE_MS)).await;
            continue;
        }
        match shared
            .services
            .target_changes(cursor, feed.wait_ms(READ_WAIT_MS))
            .await
        {
            ReadOutcome::Read((changes, next)) => {
                if feed.read_succeeded() {
                    let now = shared.clock.now();
                    shared.lock().notify_leader(Event::TargetListRegained, now);
                }
                let is_full_list = cursor.is_none();
                cursor = Some(next);
                notify_target_changes(&shared, changes, is_full_list);
                Timer::after(Duration::from_millis(TARGETS_PAUSE_MS)).await;
            }
            ReadOutcome::Expired => cursor = None,
            ReadOutcome::Failed(cause) => feed.read_failed(&cause).await,
        }
    }
}

fn notify_target_changes<S>(shared: &Shared<S>, changes: Vec<TargetChange>, is_full_list: bool) {
    let now = shared.clock.now();
    let mut state = shared.lock();
    if is_full_list {
        let entries = changes.into_iter().filter_map(TargetChange::entry);
        state.notify_leader(Event::TargetList(entries.collect()), now);
        drop(state);
        shared.wake();
        return;
    }
    for change in changes {
        let event = match change {
            TargetChange::Entry(entry) => Event::TargetEntry(entry),
            TargetChange::Gone(id) => Event::TargetRemoved(id),
        };
        state.notify_leader(event, now);
    }
    drop(state);
    shared.wake();
}

/// Logs when a feed is lost and regained.
#[derive(Debug)]
struct FeedStatus {
    feed: &'static str,
    failures: u64,
}

impl FeedStatus {
    const fn new(feed: &'static str) -> Self {
        Self { feed, failures: 0 }
    }

    /// Returns true when the feed had failed before.
    fn read_succeeded(&mut self) -> bool {
        let regained = self.failures > 0;
        if regained {
            spdlog::info!("feed_regained", kv: { feed = self.feed, failures = self.failures });
        }
        self.failures = 0;
        regained
    }

    /// Time that the next read may wait for news: none after a failure, so that the
    /// store's return is noticed soon.
    const fn wait_ms(&self, usual_ms: u64) -> u64 {
        if self.failures > 0 { 0 } else { usual_ms }
    }

    async fn read_failed(&mut self, cause: &str) {
        if self.failures == 0 {
            spdlog::warn!("feed_lost", kv: { feed = self.feed, cause });
        }
        self.failures += 1;
        Timer::after(Duration::from_millis(FAILED_PAUSE_MS)).await;
    }
}

/// Waits for `pause_ms`, or until `early` ends.
async fn pause_or(pause_ms: u64, early: impl Future<Output = ()>) {
    let pause = async {
        Timer::after(Duration::from_millis(pause_ms)).await;
    };
    future::or(early, pause).await;
}
