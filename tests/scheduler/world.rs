//! A platform in virtual time, and the checks of what its callers and targets see.

use std::collections::BTreeMap;
use std::sync::Arc;

use amaranthwick::scheduler::{
    Change, Command, Event, HoldFailure, Holder, JobKey, JobSpec, JobState, JobTable, Leader,
    LeaderSettings, Machine, MachineOutcome, MachineState, Millis, Policy, Record, StartOutcome,
    Step, StopOutcome, TargetId, TaskKey, Wave, event_of,
};
use fastrand::Rng;
use indexmap::{IndexMap, IndexSet};

use crate::fixtures::{POOL, policy};
use crate::target::{FakeTarget, Work};

/// Time between two decisions.
const TICK_MS: Millis = 5;
/// Time that the store and a call to a target take, one way.
const STORE_MS: Millis = 3;
const CALL_MS: Millis = 1;
/// Time after which a call without an answer is given up.
const CALL_LIMIT_MS: Millis = 400;
/// Time that upkeep takes.
const UPKEEP_MS: Millis = 2_000;
/// A day of the world's time of day, in ms since 1970.
pub(crate) const MIDNIGHT_MS: u64 = 1_700_000_000_000;

/// Something that is on its way.
enum Parcel {
    Deliver {
        leader: usize,
        event: Event,
    },
    Start(usize, Command),
    Stop(usize, Command),
    Hold(usize, Command),
    Store {
        leader: usize,
        batch: u64,
        changes: Vec<Change>,
    },
    UpkeepOver(String),
}

/// A process that leads or has led.
struct Node {
    leader: Leader,
    table: JobTable,
    frozen_until: Millis,
    gone: bool,
}

/// What goes wrong, in parts of a thousand of all calls.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Troubles {
    /// Answers of targets that are lost.
    pub(crate) lost_answers: u32,
    /// Orders that are carried out 2 to 12 s late and not answered.
    pub(crate) late_orders: u32,
    /// Tasks that fail.
    pub(crate) failures: u32,
}

/// The platform.
pub(crate) struct World {
    pub(crate) now: Millis,
    pub(crate) targets: IndexMap<TargetId, FakeTarget>,
    pub(crate) troubles: Troubles,
    pub(crate) store_up: bool,
    pub(crate) log: Vec<Change>,
    pub(crate) broken: Vec<String>,
    pub(crate) upkeeps: Vec<(Millis, String)>,
    pub(crate) reports: Vec<(u64, bool)>,
    /// Time that a task of each step takes, where the step's estimate is not it.
    pub(crate) lengths: IndexMap<JobKey, Millis>,
    policy: Arc<Policy>,
    nodes: Vec<Node>,
    parcels: BTreeMap<(Millis, u64), Parcel>,
    sent: u64,
    epoch: u64,
    rng: Rng,
    cancelled: IndexMap<JobKey, Millis>,
    done: IndexSet<TaskKey>,
    wave: Option<Wave>,
    down: IndexSet<String>,
}

impl World {
    /// Targets `t0`, `t1`, ... of 16 cores, four to a rack.
    pub(crate) fn new(targets: usize, seed: u64) -> Self {
        spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
        let target = |i: usize| {
            let target = FakeTarget::new(&format!("t{i}"), POOL, &format!("r{}", i / 4), 16);
            (target.entry.id.clone(), target)
        };
        Self {
            now: 0,
            targets: (0..targets).map(target).collect(),
            troubles: Troubles::default(),
            store_up: true,
            log: Vec::new(),
            broken: Vec::new(),
            upkeeps: Vec::new(),
            reports: Vec::new(),
            lengths: IndexMap::new(),
            policy: Arc::new(policy()),
            nodes: Vec::new(),
            parcels: BTreeMap::new(),
            sent: 0,
            epoch: 0,
            rng: Rng::with_seed(seed),
            cancelled: IndexMap::new(),
            done: IndexSet::new(),
            wave: None,
            down: IndexSet::new(),
        }
    }

    pub(crate) fn rng(&mut self) -> &mut Rng {
        &mut self.rng
    }

    /// A new process claims the role; the others are fenced by the store.
    pub(crate) fn claim(&mut self) {
        self.epoch += 1;
        let holder = Holder {
            member: format!("node-{}", self.epoch),
            incarnation: self.epoch,
            epoch: self.epoch,
            released: false,
            batch: 0,
        };
        self.log.push(Change::Put(Record::Holder(holder.clone())));
        let mut table = JobTable::default();
        for change in &self.log {
            table.apply(change.clone());
        }
        let settings = LeaderSettings {
            holder,
            lease_ms: 4_000,
            yield_ms: 7_000,
            settle_ms: 3_000,
            stop_ms: 400,
            keep_ms: 120_000,
        };
        let listed = self.targets.values();
        let listed = listed.filter(|target| target.alive && target.listed);
        let entries = listed.map(|target| target.entry.clone()).collect();
        let policy = Arc::clone(&self.policy);
        let now = self.now;
        let wall_ms = MIDNIGHT_MS + now;
        let mut leader = Leader::open(settings, &mut table, policy, entries, now, wall_ms);
        if let Some(wave) = &self.wave {
            leader.handle(&mut table, Event::Wave(wave.clone()), self.now);
        }
        self.nodes.push(Node {
            leader,
            table,
            frozen_until: 0,
            gone: false,
        });
    }

    /// The process that claimed last ends at once.
    pub(crate) fn kill(&mut self) {
        self.nodes.last_mut().unwrap().gone = true;
    }

    /// The process that claimed last stands still.
    pub(crate) fn freeze(&mut self, for_ms: Millis) {
        self.nodes.last_mut().unwrap().frozen_until = self.now + for_ms;
    }

    /// A caller's job is stored.
    pub(crate) fn submit(&mut self, job: u64, spec: JobSpec) -> JobKey {
        let key = JobKey(job);
        self.store(&Change::Put(Record::Job(key, spec)));
        key
    }

    /// A caller's cancel is stored.
    pub(crate) fn cancel(&mut self, key: JobKey) {
        self.cancelled.insert(key, self.now);
        self.store(&Change::Put(Record::Cancel(key)));
    }

    /// The operators ask for a wave.
    pub(crate) fn ask(&mut self, wave: Wave) {
        self.tell(&Event::Wave(wave.clone()));
        self.wave = Some(wave);
    }

    /// Tells all processes what a target says of itself.
    pub(crate) fn announce(&mut self, id: &TargetId) {
        let target = self.targets.get_mut(id).unwrap();
        target.listed = true;
        let entry = target.entry.clone();
        self.tell(&Event::Target(entry));
    }

    /// The entries of all targets lapse while the store is away, and it is back.
    pub(crate) fn lapse_entries(&mut self) {
        self.tell(&Event::TargetsRegained);
        for target in self.targets.values_mut() {
            target.listed = false;
        }
        for id in self.ids() {
            self.tell(&Event::TargetGone(id));
        }
    }

    /// All targets describe themselves anew.
    pub(crate) fn announce_all(&mut self) {
        for id in self.ids() {
            self.announce(&id);
        }
    }

    /// The list of targets is read anew as a whole.
    pub(crate) fn list_again(&mut self) {
        let listed = self.targets.values().filter(|target| target.listed);
        let entries = listed.map(|target| target.entry.clone()).collect();
        self.tell(&Event::Targets(entries));
    }

    fn ids(&self) -> Vec<TargetId> {
        self.targets.keys().cloned().collect()
    }

    /// The target starts anew under its id.
    pub(crate) fn restart(&mut self, id: &TargetId) {
        let now = self.now;
        let target = self.targets.get_mut(id).unwrap();
        target.restart(now);
        self.announce(id);
    }

    /// The target is lost for good, and its entry is dropped.
    pub(crate) fn lose(&mut self, id: &TargetId) {
        let target = self.targets.get_mut(id).unwrap();
        target.alive = false;
        target.reachable = false;
        target.listed = false;
        self.tell(&Event::TargetGone(id.clone()));
    }

    fn tell(&mut self, event: &Event) {
        let now = self.now;
        for node in self.nodes.iter_mut().filter(|node| !node.gone) {
            node.leader.handle(&mut node.table, event.clone(), now);
        }
    }

    fn store(&mut self, change: &Change) {
        self.log.push(change.clone());
        let now = self.now;
        for node in self.nodes.iter_mut().filter(|node| !node.gone) {
            node.table.apply(change.clone());
            if let Some(event) = event_of(change) {
                node.leader.handle(&mut node.table, event, now);
            }
        }
    }

    /// State of a job as stored.
    pub(crate) fn state(&self, key: JobKey) -> Option<JobState> {
        let mut table = JobTable::default();
        for change in &self.log {
            table.apply(change.clone());
        }
        table.get(key).map(amaranthwick::scheduler::Job::state)
    }

    /// Targets that run a task of the job.
    pub(crate) fn running(&self, key: JobKey) -> Vec<(TargetId, TaskKey)> {
        let on = |target: &FakeTarget| {
            let id = target.entry.id.clone();
            let tasks: Vec<TaskKey> = target.running().filter(|t| t.step.job == key).collect();
            tasks.into_iter().map(move |task| (id.clone(), task))
        };
        let alive = self.targets.values().filter(|target| target.alive);
        alive.flat_map(on).collect()
    }

    /// Lets time pass.
    pub(crate) fn run_for(&mut self, span_ms: Millis) {
        let end = self.now + span_ms;
        while self.now < end {
            self.now += TICK_MS;
            self.step();
        }
    }

    fn step(&mut self) {
        for target in self.targets.values_mut().filter(|target| target.alive) {
            target.advance(self.now);
        }
        while let Some(entry) = self.parcels.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let parcel = entry.remove();
            self.open(parcel);
        }
        for i in 0..self.nodes.len() {
            self.decide(i);
        }
    }

    fn decide(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        if node.gone || node.frozen_until > self.now {
            return;
        }
        if node.leader.deposed(self.now) {
            node.gone = true;
            return;
        }
        let wall_ms = MIDNIGHT_MS + self.now;
        let commands = node.leader.poll(&mut node.table, self.now, wall_ms);
        for command in commands {
            self.send(i, command);
        }
    }

    fn post(&mut self, delay_ms: Millis, parcel: Parcel) {
        self.sent += 1;
        self.parcels
            .insert((self.now + delay_ms, self.sent), parcel);
    }

    fn send(&mut self, leader: usize, command: Command) {
        let late = self.rng.u32(..1_000) < self.troubles.late_orders;
        let delay = if late {
            self.rng.u64(2_000..12_000)
        } else {
            CALL_MS
        };
        match command {
            Command::Append {
                batch,
                records,
                forget,
            } => {
                let records = records.into_iter().map(Change::Put);
                let changes = records.chain(forget.into_iter().map(Change::Forget));
                let changes = changes.collect();
                self.post(
                    STORE_MS,
                    Parcel::Store {
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
                    let event = Event::Started {
                        target: target.id.clone(),
                        born: target.born,
                        task,
                        run,
                        outcome: StartOutcome::Unknown,
                        clock_ms: None,
                        sent: self.now,
                    };
                    self.post(CALL_LIMIT_MS, Parcel::Deliver { leader, event });
                }
                self.post(delay, Parcel::Start(leader, command));
            }
            Command::Stop { .. } => self.post(CALL_MS, Parcel::Stop(leader, command)),
            Command::Hold { .. } => self.post(CALL_MS, Parcel::Hold(leader, command)),
            Command::ListMachines => {
                let machines = self
                    .targets
                    .values()
                    .filter(|t| t.alive)
                    .map(|target| Machine {
                        name: target.entry.machine.to_string(),
                        pool: Arc::clone(&target.entry.pool),
                        state: if self.down.contains(&*target.entry.machine) {
                            MachineState::Upkeep
                        } else {
                            MachineState::Up
                        },
                        labels: target.entry.labels.clone(),
                        capacity: target.entry.capacity,
                        target: Some(target.entry.id.clone()),
                    });
                let event = Event::Machines(Some(machines.collect()));
                self.post(CALL_MS, Parcel::Deliver { leader, event });
            }
            Command::Upkeep { machine, .. } => self.upkeep(leader, machine),
            Command::Move { machine, .. } => {
                let outcome = MachineOutcome::Invalid;
                let event = Event::Machine { machine, outcome };
                self.post(CALL_MS, Parcel::Deliver { leader, event });
            }
            Command::Report { wave, complete } => {
                self.reports.push((wave, complete));
                let event = Event::Reported { wave, stored: true };
                self.post(STORE_MS, Parcel::Deliver { leader, event });
            }
        }
    }

    fn upkeep(&mut self, leader: usize, machine: String) {
        let cap = self.wave.as_ref().map_or(0, |wave| wave.max_down);
        if self.down.len() >= cap {
            self.broken
                .push(format!("{}: over the wave's cap", self.now));
        }
        let target = self
            .targets
            .values()
            .find(|target| *target.entry.machine == *machine);
        if target.is_some_and(|target| target.running().next().is_some()) {
            self.broken
                .push(format!("{}: upkeep under running tasks", self.now));
        }
        self.upkeeps.push((self.now, machine.clone()));
        self.down.insert(machine.clone());
        self.post(UPKEEP_MS, Parcel::UpkeepOver(machine.clone()));
        let outcome = MachineOutcome::Begun;
        let event = Event::Machine { machine, outcome };
        self.post(CALL_MS, Parcel::Deliver { leader, event });
    }

    fn open(&mut self, parcel: Parcel) {
        match parcel {
            Parcel::Deliver { leader, event } => self.deliver(leader, event),
            Parcel::Store {
                leader,
                batch,
                changes,
            } => self.append(leader, batch, changes),
            Parcel::Start(leader, command) => self.start(leader, command),
            Parcel::Stop(leader, command) => self.stop(leader, &command),
            Parcel::Hold(leader, command) => self.hold(leader, &command),
            Parcel::UpkeepOver(machine) => {
                self.down.shift_remove(&machine);
                let now = self.now;
                let mut found = self.targets.values_mut();
                let target = found
                    .find(|target| *target.entry.machine == *machine)
                    .unwrap();
                target.restart(now);
                let id = target.entry.id.clone();
                self.announce(&id);
            }
        }
    }

    fn deliver(&mut self, leader: usize, event: Event) {
        let node = &mut self.nodes[leader];
        if node.gone {
            return;
        }
        if node.frozen_until > self.now {
            let wait = node.frozen_until - self.now;
            self.post(wait, Parcel::Deliver { leader, event });
            return;
        }
        let now = self.now;
        node.leader.handle(&mut node.table, event, now);
    }

    /// The store takes appends of the highest epoch only.
    fn append(&mut self, leader: usize, batch: u64, changes: Vec<Change>) {
        if !self.store_up {
            self.post(
                50,
                Parcel::Store {
                    leader,
                    batch,
                    changes,
                },
            );
            return;
        }
        if leader + 1 != self.nodes.len() {
            self.nodes[leader].gone = true;
            return;
        }
        self.log.extend(changes);
        let event = Event::Stored { batch };
        self.post(STORE_MS, Parcel::Deliver { leader, event });
    }

    fn answer(&mut self, leader: usize, event: Event) {
        if self.rng.u32(..1_000) >= self.troubles.lost_answers {
            self.post(CALL_MS, Parcel::Deliver { leader, event });
            return;
        }
        let event = match event {
            Event::Started {
                target,
                born,
                task,
                run,
                sent,
                ..
            } => Event::Started {
                target,
                born,
                task,
                run,
                outcome: StartOutcome::Unknown,
                clock_ms: None,
                sent,
            },
            Event::Stopped {
                target, born, task, ..
            } => Event::Stopped {
                target,
                born,
                task,
                outcome: StopOutcome::Unknown,
            },
            Event::Held {
                target, born, sent, ..
            } => Event::Held {
                target,
                born,
                result: Err(HoldFailure::NoAnswer),
                sent,
            },
            other => other,
        };
        self.post(CALL_LIMIT_MS, Parcel::Deliver { leader, event });
    }

    fn epoch_of(&self, leader: usize) -> u64 {
        self.nodes[leader].leader.epoch()
    }

    fn start(&mut self, leader: usize, command: Command) {
        let Command::Start {
            target,
            task,
            run,
            spec,
            deadline_ms,
            ..
        } = command
        else {
            return;
        };
        let epoch = self.epoch_of(leader);
        let sent = self.now - CALL_MS;
        let work = self.work(&spec.steps[task.step.step as usize], task);
        let running = self.running(task.step.job);
        let there = &self.targets[&target.id];
        let mut outcome = StartOutcome::Unknown;
        if there.reachable && there.alive && there.entry.born == target.born {
            let fake = self.targets.get_mut(&target.id).unwrap();
            let before = fake.running().any(|other| other == task);
            outcome = fake.start(task, run, work, deadline_ms, epoch, self.now);
            if outcome == StartOutcome::Running && !before {
                self.check_start(task, &target.id, &running);
            }
        } else if there.reachable && there.alive {
            outcome = StartOutcome::OtherIncarnation;
        }
        let event = Event::Started {
            target: target.id.clone(),
            born: target.born,
            task,
            run,
            outcome,
            clock_ms: None,
            sent,
        };
        if outcome == StartOutcome::Unknown {
            self.post(CALL_LIMIT_MS, Parcel::Deliver { leader, event });
        } else {
            self.answer(leader, event);
        }
    }

    fn check_start(&mut self, task: TaskKey, on: &TargetId, running: &[(TargetId, TaskKey)]) {
        let now = self.now;
        if running.iter().any(|(id, other)| *other == task && id != on) {
            self.broken.push(format!("{now}: {task} runs twice"));
        }
        if self.done.contains(&task) {
            self.broken
                .push(format!("{now}: {task} starts after its end"));
        }
        let cancelled = self.cancelled.get(&task.step.job);
        // Orders that are carried out late may begin, and are stopped.
        if cancelled.is_some_and(|at| now - at > 3_000) && self.troubles.late_orders == 0 {
            self.broken
                .push(format!("{now}: {task} starts after its cancel"));
        }
    }

    fn work(&mut self, step: &Step, task: TaskKey) -> Work {
        let length = self.lengths.get(&task.step.job);
        let length = length.copied().unwrap_or(step.estimate_ms);
        Work {
            takes: step.reservation(),
            length_ms: (!step.long_running).then_some(length),
            fails: self.rng.u32(..1_000) < self.troubles.failures,
        }
    }

    fn stop(&mut self, leader: usize, command: &Command) {
        let Command::Stop { target, task, run } = command else {
            return;
        };
        let epoch = self.epoch_of(leader);
        let now = self.now;
        let fake = self.targets.get_mut(&target.id).unwrap();
        let reached = fake.reachable && fake.alive && fake.entry.born == target.born;
        let outcome = if reached {
            fake.stop(*task, *run, epoch, now)
        } else {
            StopOutcome::Unknown
        };
        let event = Event::Stopped {
            target: target.id.clone(),
            born: target.born,
            task: *task,
            outcome,
        };
        if reached {
            self.answer(leader, event);
        } else {
            self.post(CALL_LIMIT_MS, Parcel::Deliver { leader, event });
        }
    }

    /// Holds answer at once here; the leader is told a little later where it let it wait.
    fn hold(&mut self, leader: usize, command: &Command) {
        let Command::Hold {
            target,
            deadline_ms,
            cursor,
            ..
        } = command
        else {
            return;
        };
        let epoch = self.epoch_of(leader);
        let now = self.now;
        let fake = self.targets.get_mut(&target.id).unwrap();
        let reached = fake.reachable && fake.alive;
        let result = if !reached {
            Err(HoldFailure::NoAnswer)
        } else if fake.entry.born != target.born {
            Err(HoldFailure::OtherIncarnation)
        } else {
            fake.hold(*deadline_ms, *cursor, epoch, now)
        };
        self.done.extend(fake.noted.drain(..));
        let event = Event::Held {
            target: target.id.clone(),
            born: target.born,
            result,
            sent: now - CALL_MS,
        };
        if reached {
            self.answer(leader, event);
        } else {
            self.post(CALL_LIMIT_MS, Parcel::Deliver { leader, event });
        }
    }
}
