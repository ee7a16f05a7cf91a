//! Targets that start what they are told to and report its end, without faults.

use std::sync::Arc;

use amaranthwick::scheduler::{
    Command, EndKind, EndedRun, Event, Millis, RunningTask, StartOutcome, StopOutcome, TargetEntry,
    TargetId, TargetReport, TaskKey, Vm, VmOutcome, VmState,
};
use indexmap::IndexMap;

#[path = "fixtures.rs"]
pub(crate) mod fixtures;

use fixtures::{pool_name, target_entry};

/// Time from a command to the event that answers it, in ms.
const ANSWER_MS: Millis = 10;

/// A run on a target: its number, and when it ends.
struct Run {
    number: u32,
    ends_at: Millis,
}

/// A call that waits for a run to end.
struct WaitingHold {
    number: u64,
    sent_at: Millis,
    until: Millis,
}

struct FakeTarget {
    entry: TargetEntry,
    runs: IndexMap<TaskKey, Run>,
    ended: Vec<EndedRun>,
    position: u64,
    hold: Option<WaitingHold>,
}

pub(crate) struct Fleet {
    targets: IndexMap<TargetId, FakeTarget>,
    /// Events that are on their way, with the time at which they arrive.
    pending: Vec<(Millis, Event)>,
}

impl Fleet {
    /// A fleet with this many targets in each pool.
    pub(crate) fn new(sizes: &[usize]) -> Self {
        let pools = sizes
            .iter()
            .enumerate()
            .flat_map(|(pool, count)| (0..*count).map(move |i| target_entry(pool, i)));
        let targets = pools.map(|entry| {
            let target = FakeTarget {
                entry: entry.clone(),
                runs: IndexMap::new(),
                ended: Vec::new(),
                position: 1,
                hold: None,
            };
            (entry.id, target)
        });
        Self {
            targets: targets.collect(),
            pending: Vec::new(),
        }
    }

    pub(crate) fn entries(&self) -> Vec<TargetEntry> {
        self.targets.values().map(|t| t.entry.clone()).collect()
    }

    pub(crate) fn vms(&self) -> Vec<Vm> {
        let vm = |target: &FakeTarget| Vm {
            name: target.entry.vm.to_string(),
            pool: Arc::clone(&target.entry.pool),
            state: VmState::Up,
            labels: target.entry.labels.clone(),
            capacity: target.entry.capacity,
            target: Some(target.entry.id.clone()),
            data_centre: Arc::clone(&target.entry.data_centre),
        };
        self.targets.values().map(vm).collect()
    }

    /// Has the event arrive a little later.
    pub(crate) fn schedule(&mut self, event: Event, now: Millis) {
        self.pending.push((now + ANSWER_MS, event));
    }

    /// Ends the runs that are due, and returns the events that arrive.
    pub(crate) fn advance(&mut self, now: Millis) -> Vec<Event> {
        let mut events: Vec<Event> = Vec::new();
        for target in self.targets.values_mut() {
            target.end_runs(now);
            let answers = target
                .hold
                .take_if(|hold| hold.until <= now || !target.ended.is_empty());
            events.extend(answers.map(|hold| target.report(hold.number, hold.sent_at, now)));
        }
        let (arrived, pending) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.pending = pending;
        let arrived: Vec<(Millis, Event)> = arrived;
        events.extend(arrived.into_iter().map(|(_, event)| event));
        events
    }

    /// Carries out commands, and returns the answers that come at once.
    pub(crate) fn carry_out(&mut self, commands: Vec<Command>, now: Millis) -> Vec<Event> {
        let commands = commands.into_iter();
        commands.filter_map(|c| self.answer(c, now)).collect()
    }

    fn answer(&mut self, command: Command, now: Millis) -> Option<Event> {
        match command {
            Command::Append { batch, .. } => Some(Event::BatchStored { batch }),
            Command::Start {
                target,
                task,
                run,
                spec,
                ..
            } => {
                let ends_at = now + spec.steps[task.step.step as usize].estimate_ms;
                let fake = &mut self.targets[&target.id];
                let number = run;
                fake.runs.insert(task, Run { number, ends_at });
                Some(Event::StartAnswered {
                    target: target.id.clone(),
                    born: target.born,
                    task,
                    run,
                    outcome: StartOutcome::Running,
                    clock_ms: Some(now),
                    sent_at: now,
                })
            }
            Command::NotifyPredecessor { member } => Some(Event::PredecessorNotified {
                member,
                idle_ms: Some(0),
            }),
            Command::Stop { target, task, run } => Some(Event::StopAnswered {
                target: target.id.clone(),
                born: target.born,
                task,
                run,
                outcome: StopOutcome::Confirmed,
                clock_ms: None,
                sent_at: now,
            }),
            Command::Hold {
                target,
                number,
                forget_up_to,
                wait_ms,
                ..
            } => {
                let fake = &mut self.targets[&target.id];
                fake.ended.retain(|end| end.position > forget_up_to);
                let until = now + wait_ms;
                if wait_ms > 0 {
                    fake.hold = Some(WaitingHold {
                        number,
                        sent_at: now,
                        until,
                    });
                    return None;
                }
                Some(fake.report(number, now, now))
            }
            Command::ListVms => Some(Event::VmList(Some(self.vms()))),
            Command::BeginUpkeep { vm, .. } | Command::MoveVm { vm, .. } => {
                let outcome = VmOutcome::Invalid;
                Some(Event::VmOrderAnswered { vm, outcome })
            }
            Command::ReportWave { wave, .. } => Some(Event::WaveReported { wave, stored: true }),
        }
    }
}

impl FakeTarget {
    fn end_runs(&mut self, now: Millis) {
        let due: Vec<TaskKey> = self
            .runs
            .iter()
            .filter(|(_, run)| run.ends_at <= now)
            .map(|(task, _)| *task)
            .collect();
        for task in due {
            let Some(run) = self.runs.swap_remove(&task) else {
                continue;
            };
            self.ended.push(EndedRun {
                position: self.position,
                task,
                run: run.number,
                kind: EndKind::Done,
                checkpoint: String::new(),
            });
            self.position += 1;
        }
    }

    fn report(&self, number: u64, sent_at: Millis, now: Millis) -> Event {
        let running = self.runs.iter().map(|(task, run)| RunningTask {
            task: *task,
            run: run.number,
            checkpoint: String::new(),
            percent: u32::try_from(now / 10 % 100).unwrap_or(0),
            load: 0,
        });
        Event::HoldAnswered {
            target: self.entry.id.clone(),
            born: self.entry.born,
            number,
            result: Ok(TargetReport {
                born: self.entry.born,
                clock_ms: now,
                running: running.collect(),
                ended: self.ended.clone(),
                complete: true,
            }),
            sent_at,
        }
    }
}

/// Name of the queue that a pool serves.
pub(crate) fn queue_name(pool: usize) -> String {
    format!("queue-{}", pool_name(pool))
}
