//! Follows the stream of records and the list of targets.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;

use super::feed::FeedStatus;
use super::services::{Page, ReadOutcome, Services, Snapshot, TargetChange};
use super::state::{Shared, State};
use crate::scheduler::{Change, Event, JobKey, JobTable, Member, Millis, Record, leader_event};

/// Time that the store may wait for a record or a change of the targets, in ms; short, so that a
/// store that does not answer is noticed soon.
const READ_WAIT_MS: u64 = 500;

/// Pause after records were read in a process that does not lead, in ms, so that the next read
/// brings more of them.
const FOLLOWER_PAUSE_MS: u64 = 250;

/// Pause after records were read in a leading process, in ms. It is shorter, because the leader
/// also reads its own records back to confirm them.
const LEADER_PAUSE_MS: u64 = 30;

/// Pause between two reads of the list of targets, in ms; without it each heartbeat of a target
/// would be read by itself.
const TARGETS_PAUSE_MS: u64 = 200;

/// Pause between two checks whether this process leads, in ms.
const NOT_LEADING_PAUSE_MS: u64 = 200;

/// Applies the stream of records to the table for as long as the process runs.
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

/// Loads the table from the newest records of all keys. This process does not lead meanwhile: a
/// leader that steps down has `next_offset` reset, and the role is taken only while it is set.
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
            state.table = table;
            state.next_offset = Some(next);
            let jobs: Vec<JobKey> = state.table.iter().map(|(job, _)| job).collect();
            for job in jobs {
                state.compare_shown(job, now);
            }
            // After a pause in reading, the timeout of the current leader starts anew.
            state.election.caught_up(now);
            state.election.records_loaded(now);
        }
        ReadOutcome::Expired => {}
        ReadOutcome::Failed(cause) => feed.read_failed(&cause).await,
    }
}

/// Appends a record with the address of this process, unless the table has it, and takes the
/// addresses of the other processes from the table.
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

/// Applies records that were read from the offset `from`, unless the table was reset meanwhile.
/// Returns whether this process leads.
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
        state.caught_up_at = Some(now);
        state.election.caught_up(now);
    }
    state.leader.is_some()
}

/// Returns whether only leaders write such a change, or processes that claim the role or give it up.
pub(super) const fn is_leaders(change: &Change) -> bool {
    matches!(
        change,
        Change::Put(Record::Holder(_) | Record::Progress(..) | Record::Wave(..))
    )
}

/// Applies one change to the election and the table, and passes it to the leader.
fn apply_change(state: &mut State, change: Change, now: Millis) {
    let own_claim = match (&mut state.claim, &change) {
        (Some(claim), Change::Put(Record::Holder(holder))) => claim.observe(holder),
        _ => false,
    };
    // A claim of this process tells nothing of earlier leaders.
    if is_leaders(&change) && !own_claim {
        state.election.leader_seen(now);
    }
    if let Change::Put(Record::Holder(holder)) = &change {
        state
            .election
            .holder_read(state.table.holder(), holder, now);
        let own_epoch = state.leader.as_ref().map(crate::scheduler::Leader::epoch);
        if own_epoch.is_some_and(|epoch| holder.epoch > epoch) {
            state.step_down("another process claimed the role");
            return;
        }
        if own_epoch == Some(holder.epoch) {
            state.read_back_batch = holder.batch;
        }
    }
    // The table of a leading process already has these changes, and later ones.
    let written_by_leader = matches!(
        &change,
        Change::Put(Record::Progress(..) | Record::Wave(..))
    );
    if written_by_leader && state.leader.is_some() {
        note_stored_end(state, &change, now);
        return;
    }
    let event = leader_event(&change);
    if let Some(job) = state.table.apply(change) {
        state.compare_shown(job, now);
    }
    if let Some(event) = event {
        state.notify_leader(event, now);
    }
}

/// Notes the end of a job that this process, which leads, has read back.
fn note_stored_end(state: &mut State, change: &Change, now: Millis) {
    if let Change::Put(Record::Progress(job, progress)) = change
        && progress.state.ended()
        && let Some(changed) = state.shown_jobs.state_read(*job, progress.state, now)
    {
        changed.log();
    }
}

/// Follows the list of targets, but only while this process leads.
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

/// Passes changes in the list of targets, or the complete list, to the leader.
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

/// Waits for `pause_ms`, but no longer than until `early` completes.
async fn pause_or(pause_ms: u64, early: impl Future<Output = ()>) {
    let pause = async {
        Timer::after(Duration::from_millis(pause_ms)).await;
    };
    future::or(early, pause).await;
}
