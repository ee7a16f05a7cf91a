//! A simulated platform in virtual time, which checks what its callers and targets see.

mod callers;
mod crash;
mod evacuation;
mod gangs;
mod late_calls;
mod leave;
mod links;
mod moves;
mod partition;
mod predecessor;
mod start_faults;
mod teams;
mod unanswered;

use std::collections::BTreeMap;
use std::sync::Arc;

use amaranthwick::http::UNACKNOWLEDGED_LIMIT_MS;
use amaranthwick::scheduler::{
    ActiveLeader, BatchId, Capacity, Change, Command, Election, Event, HoldFailure, Holder, JobKey,
    JobSpec, JobState, JobTable, LeaderSettings, Millis, Policy, Record, Refusal as JobRefusal,
    StartOutcome, StopOutcome, StoredTable, TargetEntry, TargetId, TaskKey, VmOutcome, Wave,
};
use fastrand::Rng;
use indexmap::{IndexMap, IndexSet};

use crate::fixtures::{POOL, policy, policy_without_admission_check};
use crate::target::{FakeTarget, ForgottenEnd, MAX_LEASE_MS, Work};
use crate::vm_service::{Refusal, VmService};
use callers::Callers;
use crash::{Contact, CrashStep, Crashes};
use evacuation::Operators;
use gangs::Gangs;
use late_calls::LateHold;
use leave::Departure;
use links::Links;
use partition::Partition;
use unanswered::MutedTargets;

pub(crate) use crash::Returns;
pub(crate) use links::CallKind;
pub(crate) use start_faults::StartFault;
pub(crate) use unanswered::LostAnswers;

/// Time after which a process that was killed is back, in ms.
const PROCESS_RESTART_MS: Millis = 1_000;
/// Length of a step of the simulation, in ms; leaders decide once in each.
const TICK_MS: Millis = 5;
/// One-way latency of the store, in ms.
const STORE_LATENCY_MS: Millis = 3;
/// One-way latency of calls to targets and to the platform's VM service, in ms.
const CALL_LATENCY_MS: Millis = 1;
/// Time after which a call without an answer fails, in ms.
const CALL_TIMEOUT_MS: Millis = 400;
/// Time after which a call to the VM service without an answer fails, in ms.
const VM_CALL_TIMEOUT_MS: Millis = 900;
/// Time that the maintenance of a VM takes, in ms.
const UPKEEP_MS: Millis = 2_000;
/// Time without a stored batch after which a leader steps down, in ms.
const STEP_DOWN_AFTER_MS: Millis = 7_000;
/// Time after the last batch of a leader in which its successor sends no orders for VMs, in ms.
const VM_ORDER_DELAY_MS: Millis = 3_000;
/// Longest time until a leader reads of a change of a target's entry, in ms: the time between two
/// heartbeats, and between two reads of the list.
pub(crate) const ENTRY_LAG_MS: Millis = 1_700;
/// Longest record that the store takes, in bytes.
pub(crate) const MAX_RECORD_BYTES: usize = 262_144;
/// Attempts of a job that was accepted without the terms of its queue.
const FEWEST_ATTEMPTS: u32 = 2;
/// Time of day at virtual time 0, in ms since 1970.
pub(crate) const MIDNIGHT_MS: u64 = 1_700_000_000_000;

/// Something that happens at a later virtual time. The number is the index of the process that
/// is told of it or caused it.
enum Action {
    Deliver {
        leader: usize,
        event: Event,
    },
    Start {
        leader: usize,
        command: Command,
        sent_at: Millis,
        /// `born` of the incarnation that has received it and carries it out late; `None` for a
        /// start that is carried out as it arrives.
        received_by: Option<u64>,
    },
    Stop {
        leader: usize,
        command: Command,
        sent_at: Millis,
        /// As in a start.
        received_by: Option<u64>,
    },
    Hold(HoldCall),
    LateHold(LateHold),
    /// A leader's message to an earlier one arrives.
    NotifyPredecessor {
        leader: usize,
        member: String,
    },
    /// The network delivers a call that its sender has given up.
    Detained {
        leader: usize,
        command: Command,
    },
    Store {
        leader: usize,
        batch: u64,
        changes: Vec<Change>,
    },
    /// The store acknowledges a batch.
    Acknowledge {
        leader: usize,
        batch: u64,
        changes: Vec<Change>,
    },
    Upkeep {
        leader: usize,
        vm: String,
        /// The network delivers the order after its sender has given the call up.
        held_up: bool,
    },
    FinishUpkeep(String),
    Move {
        leader: usize,
        vm: String,
        pool: Arc<str>,
    },
    FinishMove(String),
    Crash(CrashStep),
    Publish(TargetId),
    /// A target publishes its entry, whether it is listed or not.
    Heartbeat(TargetId),
    /// The processes read what the operators have had evacuated.
    ReadEvacuations,
    Leave(Departure),
}

/// A hold call on its way to a target, or waiting there for the end of a run.
struct HoldCall {
    leader: usize,
    command: Command,
    sent_at: Millis,
    /// `born` of the incarnation that it waits at; `None` before it arrives.
    waits_at: Option<u64>,
}

/// A process that holds the leader role, or has held it.
struct Process {
    leader: ActiveLeader,
    /// What callers are answered from.
    stored: StoredTable,
    /// Number of the changes in the store that it has read.
    read: usize,
    frozen_until: Millis,
    gone: bool,
    /// Since when it has not decided as the leader, or when it is back after it was killed.
    idle_since: Millis,
    /// Data centre of its VM; empty for one that is never cut off.
    data_centre: Arc<str>,
}

impl Process {
    /// Name of the process.
    fn member(&self) -> String {
        member_name(self.leader.epoch())
    }

    /// Reads the changes in the store to their end.
    fn read_log(&mut self, log: &[Change], now: Millis) {
        for change in &log[self.read..] {
            if let Some(update) = self.stored.apply_read(change.clone()) {
                self.leader.apply(update, now);
            }
        }
        self.read = log.len();
    }
}

/// Name of the process that claims the role with the fencing token `epoch`.
fn member_name(epoch: u64) -> String {
    format!("node-{epoch}")
}

/// Rates of random faults, in parts of a thousand.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// Answers of targets that are lost, of all answers.
    pub(crate) lost_answers: u32,
    /// Answers to starts that are lost, of all answers to starts.
    pub(crate) lost_starts: u32,
    /// Starts that are carried out 2 to 12 s late and not answered in time, of all starts.
    pub(crate) late_starts: u32,
    /// Stops that are carried out as late and not answered, of all stops.
    pub(crate) late_stops: u32,
    /// Holds that are carried out as late and not answered, of all holds.
    pub(crate) late_holds: u32,
    /// Longest time by which answers are late, in ms; they arrive before the call fails.
    pub(crate) jitter_ms: Millis,
    /// Runs that end as failed, of all runs.
    pub(crate) failed_runs: u32,
    /// Orders for VMs that the network holds up for as long as a connection lasts without
    /// acknowledgements, of all orders.
    pub(crate) held_up_orders: u32,
}

/// The simulated platform and the processes that lead or have led.
pub(crate) struct World {
    pub(crate) now: Millis,
    pub(crate) targets: IndexMap<TargetId, FakeTarget>,
    pub(crate) faults: Faults,
    pub(crate) crashes: Crashes,
    gangs: Gangs,
    pub(crate) callers: Callers,
    pub(crate) operators: Operators,
    links: Links,
    partition: Partition,
    /// Whether targets let hold calls wait for the end of a run, for as long as these allow. Such a
    /// call gets no answer from an incarnation that has started meanwhile.
    pub(crate) holds_wait: bool,
    /// Starts that have begun a run on a later incarnation of a target than they were meant for.
    pub(crate) starts_after_restart: usize,
    muted: MutedTargets,
    /// Whether leaders can append to the store.
    pub(crate) store_up: bool,
    /// All changes in the store.
    pub(crate) log: Vec<Change>,
    /// Rules that were violated, with the time.
    pub(crate) violations: Vec<String>,
    /// VMs whose maintenance began, with the time.
    pub(crate) upkeeps: Vec<(Millis, String)>,
    /// Orders to move a VM: the VM and the pool. Unless moves are enabled, the VM service refuses
    /// those to the standby pool; others begin, but do not end.
    pub(crate) moves: Vec<(String, String)>,
    /// Reports on waves: the number, and whether the wave is complete.
    pub(crate) reports: Vec<(u64, bool)>,
    /// Run time of a job's tasks in ms, where it is not the step's estimate.
    pub(crate) run_times: IndexMap<JobKey, Millis>,
    /// Run time of a job's tasks in percent of their estimate; that of each task varies by a fifth.
    pub(crate) estimate_errors: IndexMap<JobKey, u64>,
    policy: Arc<Policy>,
    processes: Vec<Process>,
    /// Pending actions by their time and number.
    actions: BTreeMap<(Millis, u64), Action>,
    /// Number of actions scheduled so far.
    scheduled: u64,
    epoch: u64,
    rng: Rng,
    cancelled: IndexMap<JobKey, Millis>,
    /// Tasks whose ends as done were forgotten by their targets; they must not start again.
    done: IndexSet<TaskKey>,
    /// Tasks of the runs that have ended as done, in the order of the ends.
    ended_done: Vec<TaskKey>,
    /// When each task was last started.
    started_at: IndexMap<TaskKey, Millis>,
    wave: Option<Wave>,
    pub(crate) vm_service: VmService,
    /// When a batch was last stored.
    last_stored: Millis,
    /// The claim that was stored last.
    holder: Option<Holder>,
    /// What a process that follows the store knows of the leaders.
    election: Election,
}

impl World {
    /// A platform with targets `t0`, `t1`, ... of 16 cores each, four to a rack and in turns in the
    /// data centres `z0`, `z1` and `z2`.
    pub(crate) fn new(targets: usize, seed: u64) -> Self {
        spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
        let target = |i: usize| {
            let mut target = FakeTarget::new(&format!("t{i}"), POOL, &format!("r{}", i / 4), 16);
            target.entry.data_centre = Arc::from(format!("z{}", i % 3));
            (target.entry.id.clone(), target)
        };
        Self {
            now: 0,
            targets: (0..targets).map(target).collect(),
            faults: Faults::default(),
            crashes: Crashes::default(),
            gangs: Gangs::new(),
            callers: Callers::default(),
            operators: Operators::default(),
            links: Links::default(),
            partition: None,
            holds_wait: false,
            starts_after_restart: 0,
            muted: MutedTargets::new(),
            store_up: true,
            log: Vec::new(),
            violations: Vec::new(),
            upkeeps: Vec::new(),
            moves: Vec::new(),
            reports: Vec::new(),
            run_times: IndexMap::new(),
            estimate_errors: IndexMap::new(),
            policy: Arc::new(policy()),
            processes: Vec::new(),
            actions: BTreeMap::new(),
            scheduled: 0,
            epoch: 0,
            rng: Rng::with_seed(seed),
            cancelled: IndexMap::new(),
            done: IndexSet::new(),
            ended_done: Vec::new(),
            started_at: IndexMap::new(),
            wave: None,
            vm_service: VmService::default(),
            last_stored: 0,
            holder: None,
            election: Election::new("follower", 1, 0),
        }
    }

    /// The targets start whatever they are told to, whether it fits or not.
    pub(crate) fn remove_admission_check(&mut self) {
        self.policy = Arc::new(policy_without_admission_check());
        for target in self.targets.values_mut() {
            target.room.guarded = false;
        }
    }

    /// The capacity of a target changes, and a while later its entry.
    pub(crate) fn set_capacity(&mut self, id: &TargetId, capacity: Capacity) {
        let target = self.targets.get_mut(id).unwrap();
        target.room.change(capacity, self.now);
        let delay = self.rng.u64(..ENTRY_LAG_MS);
        self.schedule(delay, Action::Publish(id.clone()));
    }

    pub(crate) fn rng(&mut self) -> &mut Rng {
        &mut self.rng
    }

    /// A new process claims the leader role; the store refuses the others from then on.
    pub(crate) fn claim(&mut self) {
        self.epoch += 1;
        let holder = Holder {
            member: member_name(self.epoch),
            incarnation: self.epoch,
            epoch: self.epoch,
            released: false,
            batch: 0,
        };
        let before = self.holder.replace(holder.clone());
        let earlier_extend_ms =
            self.election
                .earlier_extend_ms(before.as_ref(), self.now, STEP_DOWN_AFTER_MS);
        let no_members = std::iter::empty();
        let predecessors =
            self.election
                .predecessors(before.as_ref(), no_members, self.now, STEP_DOWN_AFTER_MS);
        let earlier_silence_ms = self.election.earlier_silence_ms(before.as_ref(), self.now);
        self.election
            .holder_read(before.as_ref(), &holder, self.now);
        self.log.push(Change::Put(Record::Holder(holder.clone())));
        let mut stored = StoredTable::default();
        for change in &self.log {
            stored.apply_read(change.clone());
        }
        let settings = LeaderSettings {
            holder,
            lease_ms: 4_000,
            max_lease_ms: MAX_LEASE_MS,
            earlier_extend_ms,
            predecessors,
            earlier_silence_ms,
            step_down_after_ms: STEP_DOWN_AFTER_MS,
            vm_order_delay_ms: VM_ORDER_DELAY_MS.saturating_sub(self.now - self.last_stored),
            stop_timeout_ms: 400,
            job_retention_ms: 120_000,
        };
        let entries = self.listed_entries();
        let policy = Arc::clone(&self.policy);
        let now = self.now;
        let wall_ms = MIDNIGHT_MS + now;
        let mut leader = ActiveLeader::take_over(settings, &stored, policy, entries, now, wall_ms);
        if let Some(wave) = &self.wave {
            leader.handle(Event::WaveRequested(wave.clone()), self.now);
        }
        leader.handle(self.operators.event(), self.now);
        self.processes.push(Process {
            leader,
            stored,
            read: self.log.len(),
            frozen_until: 0,
            gone: false,
            idle_since: self.now,
            data_centre: Arc::from(""),
        });
    }

    /// The process that claimed the role last gives it up and ends.
    pub(crate) fn hand_over(&mut self) {
        self.kill();
        self.epoch += 1;
        let before = self.holder.take();
        let released = Holder {
            epoch: self.epoch,
            released: true,
            ..before.clone().unwrap()
        };
        self.election
            .holder_read(before.as_ref(), &released, self.now);
        self.election.leader_seen(self.now);
        self.log.push(Change::Put(Record::Holder(released.clone())));
        self.holder = Some(released);
    }

    /// Ends the process that claimed the role last.
    pub(crate) fn kill(&mut self) {
        self.note_kill();
        let process = self.processes.last_mut().unwrap();
        process.gone = true;
        process.idle_since = self.now + PROCESS_RESTART_MS;
    }

    /// Suspends the process that claimed the role last.
    pub(crate) fn freeze(&mut self, for_ms: Millis) {
        self.processes.last_mut().unwrap().frozen_until = self.now + for_ms;
    }

    /// Replaces the policy of the processes that claim the role from now on.
    pub(crate) fn set_policy(&mut self, policy: Policy) {
        self.policy = Arc::new(policy);
    }

    /// The operators publish a policy, and all processes read it.
    pub(crate) fn publish_policy(&mut self, policy: Policy) {
        self.set_policy(policy);
        let policy = Arc::clone(&self.policy);
        self.notify_leaders(&Event::PolicyChanged(policy));
    }

    /// Offers a caller's job to the process that claimed the role last, and stores it unless that
    /// refuses it.
    pub(crate) fn offer(&mut self, job: u64, spec: JobSpec) -> Result<JobKey, JobRefusal> {
        let now = self.now;
        let process = self.processes.last_mut().unwrap();
        process.leader.admit(JobKey(job), &spec, now)?;
        Ok(self.submit(job, spec))
    }

    /// Stores a caller's job, accepted now unless it says otherwise.
    pub(crate) fn submit(&mut self, job: u64, mut spec: JobSpec) -> JobKey {
        let key = JobKey(job);
        if spec.accepted_ms == 0 {
            spec.accepted_ms = MIDNIGHT_MS + self.now;
        }
        self.store(&Change::Put(Record::Job(key, spec)));
        key
    }

    /// Stores a caller's cancel.
    pub(crate) fn cancel(&mut self, key: JobKey) {
        self.cancelled.insert(key, self.now);
        self.store(&Change::Put(Record::Cancel(key)));
    }

    /// The operators request a wave.
    pub(crate) fn request_wave(&mut self, wave: Wave) {
        self.notify_leaders(&Event::WaveRequested(wave.clone()));
        self.wave = Some(wave);
    }

    /// A target publishes its entry.
    pub(crate) fn publish_entry(&mut self, id: &TargetId) {
        let data_centre = &self.targets[id].entry.data_centre;
        if self.store_is_silent() || self.is_cut_off(data_centre) {
            return self.publish_later(id);
        }
        let now = self.now;
        let target = self.targets.get_mut(id).unwrap();
        target.listed = true;
        target.listed_as = None;
        target.entry.capacity = target.room.show(now);
        let entry = target.entry.clone();
        self.notify_leaders(&Event::TargetEntry(entry));
    }

    /// Another writer publishes a well-formed entry under the id of a target, which goes on as it
    /// was and overwrites it with its next heartbeat.
    pub(crate) fn publish_foreign_entry(&mut self, id: &TargetId, born: u64) {
        let target = self.targets.get_mut(id).unwrap();
        let entry = TargetEntry {
            born,
            ..target.entry.clone()
        };
        target.listed_as = Some(entry.clone());
        self.notify_leaders(&Event::TargetEntry(entry));
        let delay = self.rng.u64(..ENTRY_LAG_MS);
        self.schedule(delay, Action::Publish(id.clone()));
    }

    /// The entries of all targets expire during an outage of the store that has just ended.
    pub(crate) fn expire_entries(&mut self) {
        self.notify_leaders(&Event::TargetListRegained);
        for target in self.targets.values_mut() {
            target.listed = false;
        }
        for id in self.ids() {
            self.notify_leaders(&Event::TargetRemoved(id));
        }
    }

    /// All targets publish their entries.
    pub(crate) fn publish_all_entries(&mut self) {
        for id in self.ids() {
            if self.targets[&id].is_up() {
                self.publish_entry(&id);
            }
        }
    }

    /// The whole list of targets is read again.
    pub(crate) fn relist_targets(&mut self) {
        let entries = self.listed_entries();
        self.notify_leaders(&Event::TargetList(entries));
    }

    fn listed_entries(&self) -> Vec<TargetEntry> {
        let listed = self.targets.values().filter(|target| target.listed);
        let entries = listed.map(|target| target.listed_as.as_ref().unwrap_or(&target.entry));
        entries.cloned().collect()
    }

    fn ids(&self) -> Vec<TargetId> {
        self.targets.keys().cloned().collect()
    }

    /// The target restarts under its id, and publishes its entry.
    pub(crate) fn restart(&mut self, id: &TargetId) {
        self.restart_unpublished(id);
        self.publish_entry(id);
    }

    /// The target restarts under its id, and publishes its entry `lag_ms` later.
    pub(crate) fn restart_with_lag(&mut self, id: &TargetId, lag_ms: Millis) {
        self.restart_unpublished(id);
        self.schedule(lag_ms, Action::Publish(id.clone()));
    }

    /// The target restarts under its id; its entry remains that of the former incarnation.
    pub(crate) fn restart_unpublished(&mut self, id: &TargetId) {
        self.note_losses(id);
        let now = self.now;
        let target = self.targets.get_mut(id).unwrap();
        let former = target.entry.clone();
        target.restart(now);
        target.listed_as = Some(former);
    }

    /// The target is lost for good, and its entry is deleted.
    pub(crate) fn lose(&mut self, id: &TargetId) {
        let target = self.targets.get_mut(id).unwrap();
        target.alive = false;
        target.reachable = false;
        target.listed = false;
        self.notify_leaders(&Event::TargetRemoved(id.clone()));
    }

    fn store(&mut self, change: &Change) {
        self.log.push(change.clone());
        self.read_log();
    }

    /// State of a job, as stored.
    pub(crate) fn state(&self, key: JobKey) -> Option<JobState> {
        let table = self.stored();
        table.get(key).map(amaranthwick::scheduler::Job::state)
    }

    /// All that is stored.
    pub(crate) fn stored(&self) -> JobTable {
        let mut table = JobTable::default();
        for change in &self.log {
            table.apply(change.clone());
        }
        table
    }

    /// Running tasks of the job, with their targets.
    pub(crate) fn running(&self, key: JobKey) -> Vec<(TargetId, TaskKey)> {
        let on = |target: &FakeTarget| {
            let id = target.entry.id.clone();
            let tasks: Vec<TaskKey> = target.running().filter(|t| t.step.job == key).collect();
            tasks.into_iter().map(move |task| (id.clone(), task))
        };
        let alive = self.targets.values().filter(|target| target.alive);
        alive.flat_map(on).collect()
    }

    /// Runs the simulation for `span_ms`.
    pub(crate) fn run_for(&mut self, span_ms: Millis) {
        let end = self.now + span_ms;
        while self.now < end {
            self.now += TICK_MS;
            self.step();
        }
    }

    fn step(&mut self) {
        self.advance_gangs();
        for target in self.targets.values_mut().filter(|target| target.alive) {
            target.advance(self.now);
            self.ended_done.append(&mut target.newly_done);
        }
        while let Some(entry) = self.actions.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let action = entry.remove();
            self.perform(action);
        }
        for i in 0..self.processes.len() {
            self.decide(i);
        }
        self.look_up_jobs();
    }

    fn decide(&mut self, i: usize) {
        let process = &mut self.processes[i];
        if process.gone || process.frozen_until > self.now {
            return;
        }
        if process.leader.deposed(self.now) {
            process.gone = true;
            return;
        }
        process.idle_since = self.now;
        let wall_ms = MIDNIGHT_MS + self.now;
        let commands = process.leader.poll(self.now, wall_ms);
        for command in commands {
            self.send(i, command);
        }
    }

    fn schedule(&mut self, delay_ms: Millis, action: Action) {
        self.scheduled += 1;
        self.actions
            .insert((self.now + delay_ms, self.scheduled), action);
    }

    fn send(&mut self, leader: usize, command: Command) {
        let called = match &command {
            Command::Start { target, .. }
            | Command::Stop { target, .. }
            | Command::Hold { target, .. } => Some(&target.id),
            _ => None,
        };
        if let Some(delay) = called.and_then(|id| self.detained_ms(id)) {
            return self.send_detained(leader, command, delay);
        }
        let late = self.rng.u32(..1_000) < self.faults.late_starts;
        let delay = if late {
            self.rng.u64(2_000..12_000)
        } else {
            CALL_LATENCY_MS
        };
        match command {
            Command::Append {
                batch,
                records,
                forgotten_jobs,
            } => {
                let records = records.into_iter().map(Change::Put);
                let changes = records.chain(forgotten_jobs.into_iter().map(Change::Forget));
                let changes = changes.collect();
                self.schedule(
                    STORE_LATENCY_MS,
                    Action::Store {
                        leader,
                        batch,
                        changes,
                    },
                );
            }
            Command::Start {
                ref target,
                task,
                run,
                ..
            } => {
                if late {
                    let event = Event::StartAnswered {
                        target: target.id.clone(),
                        born: target.born,
                        task,
                        run,
                        outcome: StartOutcome::Unknown,
                        clock_ms: None,
                        sent_at: self.now,
                    };
                    self.schedule(CALL_TIMEOUT_MS, Action::Deliver { leader, event });
                }
                let delay = if late {
                    delay
                } else {
                    self.transit_ms(&target.id, CallKind::Start)
                };
                let start = Action::Start {
                    leader,
                    received_by: late.then(|| self.targets[&target.id].entry.born),
                    command,
                    sent_at: self.now,
                };
                self.schedule(delay, start);
            }
            Command::Stop { .. } => self.send_stop(leader, command),
            Command::Hold { ref target, .. } => {
                let delay = self.transit_ms(&target.id, CallKind::Hold);
                if self.draw(self.faults.late_holds) {
                    return self.send_late_hold(leader, command);
                }
                let call = HoldCall {
                    leader,
                    command,
                    sent_at: self.now,
                    waits_at: None,
                };
                self.schedule(delay, Action::Hold(call));
            }
            Command::NotifyPredecessor { member } => self.notify_predecessor(leader, member),
            Command::ListVms => {
                let event = Event::VmList(self.list_vms());
                self.schedule(CALL_LATENCY_MS, Action::Deliver { leader, event });
            }
            Command::BeginUpkeep { vm, .. } => self.order_upkeep(leader, vm),
            Command::MoveVm { vm, pool, .. } => self.order_move(leader, vm, pool),
            Command::ReportWave { wave, complete } => {
                self.reports.push((wave, complete));
                let event = Event::WaveReported { wave, stored: true };
                self.schedule(STORE_LATENCY_MS, Action::Deliver { leader, event });
            }
        }
    }

    fn order_upkeep(&mut self, leader: usize, vm: String) {
        let held_up = self.rng.u32(..1_000) < self.faults.held_up_orders;
        let delay = if held_up {
            self.vm_answer(VM_CALL_TIMEOUT_MS, leader, &vm, VmOutcome::Unknown);
            self.rng.u64(..Millis::from(UNACKNOWLEDGED_LIMIT_MS))
        } else {
            CALL_LATENCY_MS
        };
        let order = Action::Upkeep {
            leader,
            vm,
            held_up,
        };
        self.schedule(delay, order);
    }

    fn vm_answer(&mut self, delay: Millis, leader: usize, vm: &str, outcome: VmOutcome) {
        let vm = vm.to_owned();
        let event = Event::VmOrderAnswered { vm, outcome };
        self.schedule(delay, Action::Deliver { leader, event });
    }

    /// An order to maintain a VM arrives.
    fn upkeep(&mut self, leader: usize, vm: &str, held_up: bool) {
        let now = self.now;
        let epoch = self.epoch_of(leader);
        let outcome = match self.vm_service.admit(vm, epoch) {
            Ok(()) => {
                if !held_up {
                    self.check_vm_is_empty(vm);
                }
                self.begin_upkeep(vm);
                VmOutcome::Begun
            }
            Err(Refusal::Done) => VmOutcome::Begun,
            Err(Refusal::Busy) => VmOutcome::Busy,
            Err(Refusal::Invalid) => VmOutcome::Invalid,
            Err(Refusal::Fenced) => VmOutcome::Fenced,
            Err(Refusal::LowerToken) => {
                self.violations.push(format!(
                    "{now}: order for {vm} with token {epoch} after a higher one"
                ));
                return;
            }
        };
        if !held_up {
            self.vm_answer(CALL_LATENCY_MS, leader, vm, outcome);
        }
    }

    fn check_vm_is_empty(&mut self, vm: &str) {
        let mut found = self.targets.values();
        let target = found.rfind(|target| *target.entry.vm == *vm);
        if target.is_some_and(|target| target.running().next().is_some()) {
            self.violations
                .push(format!("{}: upkeep under running tasks", self.now));
        }
    }

    fn begin_upkeep(&mut self, vm: &str) {
        let cap = self.wave.as_ref().map_or(0, |wave| wave.max_down);
        if self.vm_service.down_count() > cap {
            self.violations
                .push(format!("{}: over the wave's cap", self.now));
        }
        self.upkeeps.push((self.now, vm.to_owned()));
        self.schedule(UPKEEP_MS, Action::FinishUpkeep(vm.to_owned()));
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Deliver { leader, event } => self.deliver(leader, event),
            Action::Store {
                leader,
                batch,
                changes,
            } => self.append(leader, batch, changes),
            Action::Acknowledge {
                leader,
                batch,
                changes,
            } => self.acknowledge(leader, batch, changes),
            Action::Start {
                leader,
                command,
                sent_at,
                received_by,
            } => {
                if self.has_received(&command, received_by) {
                    self.start(leader, &command, sent_at);
                }
            }
            Action::Stop {
                leader,
                command,
                sent_at,
                received_by: None,
            } => self.stop(leader, &command, sent_at),
            Action::Stop {
                leader,
                command,
                received_by: Some(born),
                ..
            } => self.carry_out_late_stop(leader, &command, born),
            Action::LateHold(call) => self.carry_out_late_hold(&call),
            Action::Detained { leader, command } => self.carry_out_detained(leader, command),
            Action::NotifyPredecessor { leader, member } => {
                self.answer_successor(leader, member);
            }
            Action::Hold(call) => self.hold(call),
            Action::Crash(step) => self.perform_crash_step(&step),
            Action::Leave(departure) => self.leave(&departure),
            Action::Upkeep {
                leader,
                vm,
                held_up,
            } => self.upkeep(leader, &vm, held_up),
            Action::Publish(id) => {
                if self.targets[&id].listed {
                    self.publish_entry(&id);
                }
            }
            Action::Heartbeat(id) => {
                if self.targets[&id].is_up() {
                    self.publish_entry(&id);
                }
            }
            Action::ReadEvacuations => self.read_evacuations(),
            Action::Move { leader, vm, pool } => self.begin_move(leader, &vm, &pool),
            Action::FinishMove(vm) => self.finish_move(&vm),
            Action::FinishUpkeep(vm) => {
                self.vm_service.finish(&vm);
                let now = self.now;
                let mut found = self.targets.values_mut();
                let target = found.rfind(|target| *target.entry.vm == *vm).unwrap();
                target.restart(now);
                let id = target.entry.id.clone();
                let pool = target.entry.pool.clone();
                if self.vm_service.moves_end && self.is_standby(&pool) {
                    return self.switch_off(&id);
                }
                self.publish_entry(&id);
            }
        }
    }

    fn deliver(&mut self, leader: usize, event: Event) {
        let process = &mut self.processes[leader];
        if process.gone {
            return;
        }
        if process.frozen_until > self.now {
            let wait = process.frozen_until - self.now;
            self.schedule(wait, Action::Deliver { leader, event });
            return;
        }
        let now = self.now;
        process.leader.handle(event, now);
    }

    /// Appends to the store, which refuses all but the process that claimed the role last.
    fn append(&mut self, leader: usize, batch: u64, changes: Vec<Change>) {
        if self.store_is_silent() || self.process_is_cut_off(leader) {
            return self.append_unanswered(leader, batch, changes);
        }
        if !self.store_up {
            self.schedule(
                50,
                Action::Store {
                    leader,
                    batch,
                    changes,
                },
            );
            return;
        }
        if leader + 1 != self.processes.len() {
            self.processes[leader].gone = true;
            return;
        }
        self.check_record_sizes(&changes);
        self.store_batch(leader, batch, &changes);
        let acknowledged = Action::Acknowledge {
            leader,
            batch,
            changes,
        };
        self.schedule(STORE_LATENCY_MS, acknowledged);
    }

    /// Checks that the store takes the records of a batch.
    fn check_record_sizes(&mut self, changes: &[Change]) {
        for change in changes {
            let Change::Put(record) = change else {
                continue;
            };
            let size = record.encode().unwrap().len();
            if size > MAX_RECORD_BYTES {
                let key = record.key();
                self.violations
                    .push(format!("{}: record {key} has {size} bytes", self.now));
            }
        }
    }

    /// Tasks of a job of which a run has ended as done, in the order of the first such end.
    pub(crate) fn done_tasks(&self, job: JobKey) -> IndexSet<TaskKey> {
        let done = self.ended_done.iter().filter(|task| task.step.job == job);
        done.copied().collect()
    }

    /// Runs of tasks of a job that have ended as done.
    pub(crate) fn done_runs(&self, job: JobKey) -> usize {
        let done = self.ended_done.iter().filter(|task| task.step.job == job);
        done.count()
    }

    /// A process learns that its batch is stored.
    fn acknowledge(&mut self, leader: usize, batch: u64, changes: Vec<Change>) {
        let process = &mut self.processes[leader];
        if process.frozen_until > self.now {
            let wait = process.frozen_until - self.now;
            let late = Action::Acknowledge {
                leader,
                batch,
                changes,
            };
            return self.schedule(wait, late);
        }
        let records = changes.into_iter().filter_map(|change| match change {
            Change::Put(record) => Some(record),
            Change::Forget(_) | Change::Other => None,
        });
        let id = BatchId {
            epoch: process.leader.epoch(),
            number: batch,
        };
        process.stored.batch_stored(id, records.collect());
        self.deliver(leader, Event::BatchStored { batch });
    }

    fn answer(&mut self, leader: usize, event: Event) {
        let lost = match event {
            Event::StartAnswered { .. } => self.faults.lost_answers.max(self.faults.lost_starts),
            _ => self.faults.lost_answers,
        };
        let muted = self.is_muted(&event) || self.loses(&event);
        let lost = if muted { 1_000 } else { lost };
        let left = self.time_left(&event);
        if self.rng.u32(..1_000) >= lost {
            let delay = CALL_LATENCY_MS + self.draw_jitter();
            self.schedule(delay.min(left), Action::Deliver { leader, event });
            return;
        }
        let event = match event {
            Event::StartAnswered {
                target,
                born,
                task,
                run,
                sent_at,
                ..
            } => Event::StartAnswered {
                target,
                born,
                task,
                run,
                outcome: StartOutcome::Unknown,
                clock_ms: None,
                sent_at,
            },
            Event::StopAnswered {
                target,
                born,
                task,
                run,
                sent_at,
                ..
            } => Event::StopAnswered {
                target,
                born,
                task,
                run,
                outcome: StopOutcome::Unknown,
                clock_ms: None,
                sent_at,
            },
            Event::HoldAnswered {
                target,
                born,
                number,
                sent_at,
                ..
            } => Event::HoldAnswered {
                target,
                born,
                number,
                result: Err(HoldFailure::NoAnswer),
                sent_at,
            },
            other => other,
        };
        self.schedule(left, Action::Deliver { leader, event });
    }

    fn epoch_of(&self, leader: usize) -> u64 {
        self.processes[leader].leader.epoch()
    }

    /// Returns whether the incarnation that has received a call is still there.
    fn has_received(&self, command: &Command, received_by: Option<u64>) -> bool {
        match command {
            Command::Start { target, .. } => {
                received_by.is_none_or(|born| self.targets[&target.id].entry.born == born)
            }
            _ => true,
        }
    }

    fn start(&mut self, leader: usize, command: &Command, ordered_at: Millis) {
        let Command::Start {
            target,
            task,
            run,
            spec,
            ..
        } = command
        else {
            return;
        };
        let work = self.work(spec, *task);
        let contact = self.contact_from(leader, target);
        let sent_at = self.sent_at(ordered_at);
        let (outcome, clock_ms, crashed) = match contact {
            Contact::Silent => (StartOutcome::Unknown, None, false),
            Contact::Refused => (StartOutcome::Unhealthy, None, false),
            Contact::Replaced => (StartOutcome::OtherIncarnation, None, false),
            Contact::Reached => self.begin_start(leader, command, work, ordered_at),
        };
        let event = Event::StartAnswered {
            target: target.id.clone(),
            born: target.born,
            task: *task,
            run: *run,
            outcome,
            clock_ms,
            sent_at,
        };
        if crashed || contact == Contact::Refused {
            self.schedule(CALL_LATENCY_MS, Action::Deliver { leader, event });
        } else if outcome == StartOutcome::Unknown {
            self.schedule(self.time_left(&event), Action::Deliver { leader, event });
        } else {
            self.answer(leader, event);
        }
    }

    /// A target carries out a start. Returns the outcome, its clock, and whether the task has crashed it
    /// before it could answer.
    fn begin_start(
        &mut self,
        leader: usize,
        command: &Command,
        work: Work,
        ordered_at: Millis,
    ) -> (StartOutcome, Option<u64>, bool) {
        let Command::Start {
            target,
            task,
            run,
            spec,
            deadline_ms,
            ..
        } = command
        else {
            unreachable!("not a start");
        };
        let (task, run) = (*task, *run);
        let epoch = self.epoch_of(leader);
        let running = self.running(task.step.job);
        let fake = self.targets.get_mut(&target.id).unwrap();
        let before = fake.run(task, run).is_some();
        let clock_ms = Some(fake.clock(self.now));
        let met = fake.entry.clone();
        let outcome = match fake.start_fault {
            Some(fault) => fault.outcome(),
            None => fake.start(task, run, work, *deadline_ms, epoch, self.now),
        };
        if outcome != StartOutcome::Running || before {
            return (outcome, clock_ms, false);
        }
        self.starts_after_restart += usize::from(met.born > target.born);
        self.callers.note_begun(task.step.job, self.now);
        self.check_start(task, &running);
        self.check_repeat(leader, task, ordered_at);
        self.check_evacuations(task, target, ordered_at);
        self.check_room(task, &target.id, ordered_at);
        self.check_team_limit();
        let step = &spec.steps[task.step.step as usize];
        self.join_gang(step, task, run, &target.id);
        if self.started(task, &met) {
            (StartOutcome::Unknown, None, true)
        } else {
            (outcome, clock_ms, false)
        }
    }

    fn check_start(&mut self, task: TaskKey, running: &[(TargetId, TaskKey)]) {
        let now = self.now;
        self.started_at.insert(task, now);
        if running.iter().any(|(_, other)| *other == task) {
            self.violations.push(format!("{now}: {task} runs twice"));
        }
        if self.done.contains(&task) {
            self.violations
                .push(format!("{now}: {task} starts after its end"));
        }
        let cancelled = self.cancelled.get(&task.step.job);
        // Starts that are carried out late may still begin, and are then stopped.
        if cancelled.is_some_and(|at| now - at > 3_000) && self.faults.late_starts == 0 {
            self.violations
                .push(format!("{now}: {task} starts after its cancel"));
        }
    }

    fn work(&mut self, spec: &JobSpec, task: TaskKey) -> Work {
        let step = &spec.steps[task.step.step as usize];
        let length = self.run_times.get(&task.step.job);
        let mut length = length.copied().unwrap_or(step.estimate_ms);
        if let Some(percent) = self.estimate_errors.get(&task.step.job) {
            // The same in each replay, in whatever order tasks start.
            let seed = task.step.job.0 ^ (u64::from(task.step.step) << 32) ^ u64::from(task.index);
            length = length * percent / 100 * Rng::with_seed(seed).u64(80..=120) / 100;
        }
        let fails = self.rng.u32(..1_000) < self.faults.failed_runs;
        if fails {
            let attempts = spec.terms.map_or(FEWEST_ATTEMPTS, |terms| terms.attempts);
            self.crashes.note_failure(task, attempts);
        }
        Work {
            reserved: step.reservation(),
            run_ms: (!step.long_running).then_some(length),
            fails,
        }
    }

    fn stop(&mut self, leader: usize, command: &Command, ordered_at: Millis) {
        let Command::Stop { target, task, run } = command else {
            return;
        };
        let epoch = self.epoch_of(leader);
        let now = self.now;
        let contact = self.contact_from(leader, target);
        let fake = self.targets.get_mut(&target.id).unwrap();
        let outcome = match contact {
            Contact::Reached => fake.stop(*task, *run, epoch, now),
            Contact::Replaced => StopOutcome::OtherIncarnation,
            Contact::Refused | Contact::Silent => StopOutcome::Unknown,
        };
        let clock_ms = (contact == Contact::Reached).then(|| fake.clock(now));
        let event = Event::StopAnswered {
            target: target.id.clone(),
            born: target.born,
            task: *task,
            run: *run,
            outcome,
            clock_ms,
            sent_at: self.sent_at(ordered_at),
        };
        self.answer_contact(contact, leader, event);
    }

    /// Delivers the result of a stop or hold call that met `contact`.
    fn answer_contact(&mut self, contact: Contact, leader: usize, event: Event) {
        match contact {
            Contact::Reached | Contact::Replaced => {
                self.answer(leader, event);
            }
            Contact::Refused => {
                self.schedule(CALL_LATENCY_MS, Action::Deliver { leader, event });
            }
            Contact::Silent => {
                self.schedule(self.time_left(&event), Action::Deliver { leader, event });
            }
        }
    }

    /// Notes ends as done that targets were allowed to forget, and checks that their tasks had not
    /// started again before.
    fn note_done(&mut self, forgotten: &[ForgottenEnd]) {
        let now = self.now;
        for end in forgotten {
            let task = end.task;
            self.done.insert(task);
            let started_at = self.started_at.get(&task).copied();
            if !end.lapsed && started_at.is_some_and(|at| at > end.ended_at) {
                self.violations
                    .push(format!("{now}: {task} started after its end"));
            }
        }
    }

    /// Answers a hold call, at once unless holds wait.
    fn hold(&mut self, mut call: HoldCall) {
        let Command::Hold {
            target,
            number,
            deadline_ms,
            forget_up_to,
            wait_ms,
        } = &call.command
        else {
            return;
        };
        let epoch = self.epoch_of(call.leader);
        let now = self.now;
        let wait_ms = if self.holds_wait { *wait_ms } else { 0 };
        let wait_until = call.sent_at + CALL_LATENCY_MS + wait_ms;
        let mut contact = self.contact_from(call.leader, target);
        let fake = self.targets.get_mut(&target.id).unwrap();
        let reached = fake.entry.born;
        if call.waits_at.is_some_and(|born| born != reached) && contact == Contact::Reached {
            contact = Contact::Silent;
        }
        // It lets the target forget ends as it arrives, not those of its wait.
        let cursor = call.waits_at.map_or(*forget_up_to, |_| 0);
        let result = match contact {
            Contact::Reached => fake.hold(*deadline_ms, cursor, epoch, now),
            Contact::Replaced => Err(HoldFailure::OtherIncarnation),
            Contact::Refused | Contact::Silent => Err(HoldFailure::NoAnswer),
        };
        let forgotten = std::mem::take(&mut fake.forgotten_done);
        self.note_done(&forgotten);
        let waits = result.as_ref().is_ok_and(|report| report.ended.is_empty());
        if waits && now < wait_until {
            call.waits_at = Some(reached);
            return self.schedule(TICK_MS, Action::Hold(call));
        }
        let event = Event::HoldAnswered {
            target: target.id.clone(),
            born: target.born,
            number: *number,
            result,
            sent_at: call.sent_at,
        };
        if contact == Contact::Silent {
            let left = wait_until.saturating_sub(now) + CALL_TIMEOUT_MS;
            let leader = call.leader;
            return self.schedule(left, Action::Deliver { leader, event });
        }
        self.answer_contact(contact, call.leader, event);
    }
}
