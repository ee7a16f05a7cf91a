//! Several processes and one log in virtual time, with lost and repeated records, pauses,
//! restarts and expired records.

use std::time::{Duration, Instant};

use amaranthwick::control::{Core, LogGap, ProposeError, ProposeResult, Settings};
use amaranthwick::id::{Incarnation, JobId, Offset};
use amaranthwick::ledger::{State, TrustedKeys, Verdict, decode_snapshot, encode_snapshot};
use amaranthwick::services::{Batch, LogError};
use async_channel::Receiver;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::fixtures::{base, common, submit};

const PROCESSES: usize = 3;

/// Whether an append takes effect in the log, and what its process sees.
#[derive(Clone, Copy, Debug)]
enum AppendOutcome {
    Answered,
    AnswerLost,
    RecordLost,
    NotSent,
    Unavailable,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Propose(usize),
    Append(usize, AppendOutcome),
    Poll(usize),
    Restart(usize),
    StoreSnapshot(usize),
    Repeat(usize),
    Expire(usize),
    Advance(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let process = 0..PROCESSES;
    let append = prop_oneof![
        4 => Just(AppendOutcome::Answered),
        2 => Just(AppendOutcome::AnswerLost),
        1 => Just(AppendOutcome::RecordLost),
        1 => Just(AppendOutcome::NotSent),
        1 => Just(AppendOutcome::Unavailable),
    ];
    prop_oneof![
        4 => process.clone().prop_map(Event::Propose),
        6 => (process.clone(), append).prop_map(|(p, a)| Event::Append(p, a)),
        4 => process.clone().prop_map(Event::Poll),
        1 => process.clone().prop_map(Event::Restart),
        2 => process.prop_map(Event::StoreSnapshot),
        1 => (0_usize..100).prop_map(Event::Repeat),
        1 => (0_usize..40).prop_map(Event::Expire),
        3 => (10_u64..4_000).prop_map(Event::Advance),
    ]
}

struct Proposed {
    job: JobId,
    answer: Receiver<ProposeResult>,
}

struct World {
    now: Instant,
    processes: Vec<Core>,
    /// All records ever appended; the log still has those from `oldest` on.
    records: Vec<Vec<u8>>,
    oldest: usize,
    snapshots: Vec<Vec<u8>>,
    proposed: Vec<Proposed>,
}

impl World {
    fn open() -> Self {
        let now = Instant::now();
        Self {
            now,
            processes: (0..PROCESSES).map(|i| process(i, now)).collect(),
            records: base(),
            oldest: 0,
            snapshots: Vec::new(),
            proposed: Vec::new(),
        }
    }

    fn run(&mut self, event: Event) {
        match event {
            Event::Propose(p) => self.propose(p),
            Event::Append(p, outcome) => self.append(p, outcome),
            Event::Poll(p) => self.poll(p),
            Event::Restart(p) => self.processes[p] = process(p, self.now),
            Event::StoreSnapshot(p) => self.store_snapshot(p),
            Event::Repeat(n) => {
                let n = n % self.records.len();
                self.records.push(self.records[n].clone());
            }
            Event::Expire(kept) => {
                let oldest = self.records.len().saturating_sub(kept);
                self.oldest = self.oldest.max(oldest);
            }
            Event::Advance(ms) => {
                self.now += Duration::from_millis(ms);
                for core in &mut self.processes {
                    core.tick(self.now);
                }
            }
        }
    }

    fn propose(&mut self, p: usize) {
        let job = format!("j{}", self.proposed.len());
        let (sender, answer) = async_channel::bounded(1);
        self.processes[p].propose(submit(&job), sender, self.now);
        let job = JobId::new(&job);
        self.proposed.push(Proposed { job, answer });
    }

    fn append(&mut self, p: usize, outcome: AppendOutcome) {
        let batch = self.processes[p].take_batch(self.now);
        let first = Offset(self.records.len() as u64);
        if matches!(outcome, AppendOutcome::Answered | AppendOutcome::AnswerLost) {
            self.records.extend(batch);
        }
        let lost = LogError::Unknown("cut".to_owned());
        let not_sent = LogError::NotSent("refused".to_owned());
        let result = match outcome {
            AppendOutcome::Answered => Ok(first),
            AppendOutcome::AnswerLost | AppendOutcome::RecordLost => Err(&lost),
            AppendOutcome::NotSent => Err(&not_sent),
            AppendOutcome::Unavailable => Err(&LogError::Unavailable),
        };
        self.processes[p].note_append_result(result, self.now);
    }

    fn poll(&mut self, p: usize) {
        let first = self.processes[p].state().offset();
        let from = usize::try_from(first.0).expect("small").max(self.oldest);
        let batch = Batch {
            oldest: Offset(self.oldest as u64),
            head: Offset(self.records.len() as u64),
            first: Offset(from as u64),
            records: self.records[from..].to_vec(),
        };
        if self.processes[p].fold(&batch, self.now, self.now) == Err(LogGap) {
            self.load_snapshot(p);
        }
    }

    fn load_snapshot(&mut self, p: usize) {
        let stored = self.snapshots.last().cloned();
        let state = stored.and_then(|bytes| decode_snapshot(&bytes, self.trust()).ok());
        if let Some(state) = state {
            self.processes[p].adopt(state);
        }
    }

    fn store_snapshot(&mut self, p: usize) {
        let bytes = encode_snapshot(self.processes[p].state());
        let newest = self.snapshots.last();
        let newest = newest.and_then(|bytes| decode_snapshot(bytes, self.trust()).ok());
        if newest.is_none_or(|newest| newest.offset() < self.processes[p].state().offset()) {
            self.snapshots.push(bytes);
        }
    }

    fn trust(&self) -> &TrustedKeys {
        self.processes[0].state().trust()
    }

    /// Folds all records ever appended into one state, without a gap or a restart.
    fn reference(&self) -> State {
        let mut state = State::empty(self.trust().clone());
        for bytes in &self.records {
            state.apply(state.offset(), bytes);
        }
        state
    }

    /// Ends all faults: the most advanced process stores its state and all processes poll.
    ///
    /// If records have expired that no process has folded, the log gets them back, because
    /// no process could catch up otherwise.
    fn recover(&mut self) {
        let offset = |p: &usize| self.processes[*p].state().offset();
        let best = (0..PROCESSES).max_by_key(offset).expect("processes");
        self.store_snapshot(best);
        let stored = self.snapshots.last().expect("stored");
        let newest = decode_snapshot(stored, self.trust())
            .expect("valid")
            .offset();
        if newest.0 < self.oldest as u64 {
            self.oldest = 0;
        }
        for p in 0..PROCESSES {
            self.poll(p);
            self.poll(p);
        }
        self.now += Duration::from_mins(1);
        for core in &mut self.processes {
            core.tick(self.now);
        }
    }
}

fn process(i: usize, now: Instant) -> Core {
    let settings = Settings::default();
    Core::new(&common(&format!("m{i}")), &settings, Incarnation(1), now)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 100,
        rng_seed: RngSeed::Fixed(2),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn all_processes_agree_and_every_answer_is_true(
        events in prop::collection::vec(event(), 0..120),
    ) {
        let mut world = World::open();

        for event in events {
            world.run(event);
        }
        world.recover();

        let reference = world.reference();
        for core in &world.processes {
            prop_assert_eq!(core.state().facts(), reference.facts());
        }
        for proposed in &world.proposed {
            let known = reference.facts().jobs.contains_key(&proposed.job);
            match proposed.answer.try_recv() {
                Ok(Ok(verdict)) => {
                    prop_assert!(matches!(verdict, Verdict::Accepted(_)) == known);
                }
                Ok(Err(ProposeError::NotAppended(_))) => prop_assert!(!known),
                Ok(Err(ProposeError::Unknown(_))) | Err(_) => {}
            }
        }
    }

    #[test]
    fn offsets_never_go_back_while_a_process_runs(
        events in prop::collection::vec(event(), 0..120),
    ) {
        let mut world = World::open();

        for event in events {
            let before: Vec<Offset> = world.processes.iter().map(|c| c.state().offset()).collect();
            world.run(event);
            let restarted = match event {
                Event::Restart(p) => Some(p),
                _ => None,
            };
            for (p, core) in world.processes.iter().enumerate() {
                prop_assert!(Some(p) == restarted || core.state().offset() >= before[p]);
            }
        }
    }
}

#[test]
fn a_record_whose_answer_was_lost_takes_effect_once() {
    let mut world = World::open();
    world.propose(0);
    world.append(0, AppendOutcome::AnswerLost);
    world.now += Duration::from_secs(3);
    world.append(0, AppendOutcome::Answered);

    world.poll(0);

    assert_eq!(world.records.len(), base().len() + 2);
    assert!(matches!(world.proposed[0].answer.try_recv(), Ok(Ok(_))));
    assert_eq!(world.processes[0].state().facts().skipped, 1);
    assert_eq!(world.processes[0].state().facts().jobs.len(), 1);
}

#[test]
fn a_follower_paused_beyond_the_retention_skips_no_records() {
    let mut world = World::open();
    world.poll(0);
    world.propose(1);
    world.append(1, AppendOutcome::Answered);
    world.poll(1);
    world.oldest = world.records.len();

    world.poll(0);
    let paused = world.processes[0].state().offset();
    world.store_snapshot(1);
    world.poll(0);

    assert_eq!(paused, Offset(base().len() as u64));
    assert_eq!(
        world.processes[0].state().facts(),
        world.processes[1].state().facts()
    );
}

#[test]
fn an_older_state_is_never_adopted() {
    let mut world = World::open();
    world.poll(0);
    world.store_snapshot(0);
    world.records.push(base()[0].clone());
    world.poll(0);
    let before = world.processes[0].state().offset();

    world.load_snapshot(0);

    assert_eq!(world.processes[0].state().offset(), before);
}

#[test]
fn a_verdict_inside_an_adopted_state_answers_its_proposer() {
    let mut world = World::open();
    world.propose(0);
    world.append(0, AppendOutcome::AnswerLost);
    world.poll(1);
    world.store_snapshot(1);

    world.load_snapshot(0);

    assert!(matches!(world.proposed[0].answer.try_recv(), Ok(Ok(_))));
}

#[test]
fn registration_is_repeated_until_the_folded_state_shows_it() {
    let mut world = World::open();
    let now = world.now;
    world.processes[0].set_peer_address(([127, 0, 0, 1], 7_000).into(), now);
    world.append(0, AppendOutcome::NotSent);
    world.run(Event::Advance(11_000));
    world.append(0, AppendOutcome::Answered);

    world.poll(0);

    assert_eq!(world.processes[0].state().facts().members.len(), 1);
}

#[test]
fn a_process_that_is_not_registered_yet_is_a_member_in_its_own_view() {
    let mut world = World::open();
    let now = world.now;

    world.processes[0].set_peer_address(([127, 0, 0, 1], 7_000).into(), now);

    let view = world.processes[0].view(now);
    let ids: Vec<&str> = view.members.iter().map(|m| m.id.as_str()).collect();
    assert_eq!(ids, ["m0"]);
    assert!(view.members[0].alive);
}

#[test]
fn a_process_whose_clock_was_set_back_registers_with_a_newer_incarnation() {
    let mut world = World::open();
    let now = world.now;
    let settings = Settings::default();
    let address = ([127, 0, 0, 1], 7_000).into();
    let mut old = Core::new(&common("m0"), &settings, Incarnation(9), now);
    old.set_peer_address(address, now);
    world.records.extend(old.take_batch(now));
    world.processes[0].set_peer_address(address, now);
    world.append(0, AppendOutcome::Answered);
    world.poll(0);
    world.run(Event::Advance(1_000));
    world.append(0, AppendOutcome::Answered);

    world.poll(0);

    let members = &world.processes[0].state().facts().members;
    assert_eq!(members[0].registration.incarnation, Incarnation(10));
}

#[test]
fn the_verdict_on_a_record_of_another_process_answers_nobody() {
    let mut world = World::open();
    world.propose(0);
    world.propose(1);
    world.append(1, AppendOutcome::Answered);

    world.poll(0);

    assert!(world.proposed[0].answer.try_recv().is_err());
    assert!(world.proposed[1].answer.try_recv().is_err());
}
