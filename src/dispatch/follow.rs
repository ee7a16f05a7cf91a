//! Follows the stream of records and the list of targets.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;

use super::feed::FeedStatus;
use super::services::{Page, ReadOutcome, Services, Snapshot, TargetChange};
use super::state::{Shared, State};
use crate::scheduler::{ActiveLeader, Change, Event, JobKey, JobTable, Member, Millis, Record};

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

/// Applies the stream of records to the stored table for as long as the process runs.
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
                    state.reload();
                }
            }
            ReadOutcome::Failed(cause) => feed.read_failed(&cause).await,
        }
    }
}

/// Loads the stored table from the newest records of all keys. This process does not lead meanwhile:
/// the role is taken only while `next_offset` is set.
async fn load<S: Services>(shared: &Shared<S>, feed: &mut FeedStatus) {
    shared.lock().stored.load_began();
    match load_to_end(shared).await {
        ReadOutcome::Read(Loaded {
            table,
            records,
            next,
        }) => {
            let jobs = table.len();
            if !adopt_loaded(shared, table, next) {
                feed.read_failed("a batch was stored meanwhile").await;
                return;
            }
            feed.read_succeeded();
            spdlog::info!("records_loaded", kv: { records, jobs, next });
        }
        ReadOutcome::Expired => {}
        ReadOutcome::Failed(cause) => feed.read_failed(&cause).await,
    }
}

/// Replaces the stored table by a loaded one, which includes all records before `next`. Returns false
/// if it lacks a batch that was acknowledged meanwhile.
fn adopt_loaded<S>(shared: &Shared<S>, table: JobTable, next: u64) -> bool {
    let now = shared.clock.now();
    let mut state = shared.lock();
    if !state.stored.loaded(table) {
        return false;
    }
    state.next_offset = Some(next);
    let jobs: Vec<JobKey> = state.stored.table().iter().map(|(job, _)| job).collect();
    for job in jobs {
        state.compare_shown(job, now);
    }
    // After a pause in reading, the timeout of the current leader starts anew.
    state.election.caught_up(now);
    state.election.records_loaded(now);
    true
}

/// The newest records of all keys, read to the end of the stream.
#[derive(Debug)]
struct Loaded {
    table: JobTable,
    /// Number of the records.
    records: usize,
    /// Offset after the last of them.
    next: u64,
}

/// Loads the newest records of all keys, and applies those that were written since the load began.
/// The pages of the load are read one after the other: until then the table may have some records
/// of a batch and lack others.
async fn load_to_end<S: Services>(shared: &Shared<S>) -> ReadOutcome<Loaded> {
    let Snapshot { changes, next } = match shared.services.load_snapshot().await {
        ReadOutcome::Read(snapshot) => snapshot,
        ReadOutcome::Expired => return ReadOutcome::Expired,
        ReadOutcome::Failed(cause) => return ReadOutcome::Failed(cause),
    };
    let mut loaded = Loaded {
        table: JobTable::default(),
        records: changes.len(),
        next,
    };
    loaded.table.apply_newest(changes);
    loop {
        match shared.services.read_records(loaded.next, 0).await {
            ReadOutcome::Read(page) => {
                loaded.apply(page.changes);
                loaded.next = page.next;
                if page.next >= page.end {
                    return ReadOutcome::Read(loaded);
                }
            }
            ReadOutcome::Expired => return ReadOutcome::Expired,
            ReadOutcome::Failed(cause) => return ReadOutcome::Failed(cause),
        }
    }
}

impl Loaded {
    /// Applies changes that were read from the stream.
    fn apply(&mut self, changes: Vec<Change>) {
        self.records += changes.len();
        for change in changes {
            self.table.apply(change);
        }
    }
}

/// Appends a record with the address of this process, unless the table has it, and takes the
/// addresses of the other processes from the table.
async fn announce_address<S: Services>(shared: &Shared<S>) {
    let settings = &shared.settings;
    let known = {
        let state = shared.lock();
        let others = state.stored.table().other_addresses(&settings.member);
        shared.services.set_peers(others);
        state.next_offset.is_none()
            || state.stored.table().member_address(&settings.member) == Some(settings.peer)
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

/// Applies records that were read from the offset `from`, unless they are being loaded anew.
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
        let others = state
            .stored
            .table()
            .other_addresses(&shared.settings.member);
        shared.services.set_peers(others);
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

/// Applies one change to the election and the stored table, and passes it to the leader.
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
        let before = state.stored.table().holder();
        state.election.holder_read(before, holder, now);
        let own_epoch = state.leader.as_ref().map(ActiveLeader::epoch);
        if own_epoch.is_some_and(|epoch| holder.epoch > epoch) {
            state.step_down("another process claimed the role");
        }
    }
    state.apply_read(change, now);
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
