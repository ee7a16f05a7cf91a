//! Ceilings shared by several processes, in virtual time. The traffic threads of a process
//! may follow the limits of an old view, and requests run on after their process has died.

use std::sync::Arc;
use std::time::{Duration, Instant};

use amaranthwick::control::{Core, LogGap, Settings};
use amaranthwick::id::{Incarnation, MemberId, Offset, TeamId};
use amaranthwick::ledger::{AllotmentHolder, decode_snapshot, encode_snapshot};
use amaranthwick::membership::{DemandReport, TeamDemand};
use amaranthwick::services::{Batch, LogError};
use amaranthwick::view::View;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::fixtures::{base_with, common};

const PROCESSES: usize = 3;
const RUN_LIMIT: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
enum AppendOutcome {
    Answered,
    AnswerLost,
    RecordLost,
    Unavailable,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Start(usize),
    End(usize),
    Demand(usize, u32),
    /// The traffic threads switch to the newest view.
    TakeView(usize),
    Report(usize),
    Append(usize, AppendOutcome),
    Poll(usize),
    /// Appends, polls, starts as many requests as allowed and reports, all without a fault.
    Work(usize),
    Beat(usize, usize),
    Restart(usize),
    Repeat(usize),
    /// Time passes, in ms; the processes in the bit mask are paused meanwhile.
    Advance(u64, usize),
}

fn event() -> impl Strategy<Value = Event> {
    let process = 0..PROCESSES;
    let append = prop_oneof![
        6 => Just(AppendOutcome::Answered),
        1 => Just(AppendOutcome::AnswerLost),
        1 => Just(AppendOutcome::RecordLost),
        1 => Just(AppendOutcome::Unavailable),
    ];
    let time = prop_oneof![
        12 => 50_u64..600,
        3 => 1_000_u64..6_000,
        1 => 20_000_u64..70_000,
    ];
    prop_oneof![
        4 => process.clone().prop_map(Event::Start),
        4 => process.clone().prop_map(Event::End),
        6 => (process.clone(), prop::sample::select(vec![0, 3, 30]))
            .prop_map(|(p, n)| Event::Demand(p, n)),
        8 => process.clone().prop_map(Event::TakeView),
        4 => process.clone().prop_map(Event::Report),
        4 => (process.clone(), append).prop_map(|(p, a)| Event::Append(p, a)),
        4 => process.clone().prop_map(Event::Poll),
        20 => process.clone().prop_map(Event::Work),
        3 => (process.clone(), process.clone()).prop_map(|(a, b)| Event::Beat(a, b)),
        1 => process.prop_map(Event::Restart),
        1 => (0_usize..500).prop_map(Event::Repeat),
        12 => (time, 0_usize..8).prop_map(|(ms, mask)| Event::Advance(ms, mask)),
    ]
}

struct Process {
    core: Core,
    view: Arc<View>,
    waiting: u32,
    /// Start times of the requests that run at targets.
    running: Vec<Instant>,
}

impl Process {
    fn open(p: usize, incarnation: u64, now: Instant) -> Self {
        let settings = Settings {
            heartbeats: true,
            ..Settings::default()
        };
        let common = common(&format!("m{p}"));
        let mut core = Core::new(&common, &settings, Incarnation(incarnation), now);
        core.set_peer_address(([127, 0, 0, 1], 7_000).into(), now);
        Self {
            core,
            view: Arc::new(View::empty()),
            waiting: 0,
            running: Vec::new(),
        }
    }

    fn limit(&self, now: Instant) -> usize {
        let limits = &self.view.limits;
        if limits.valid_until.is_none_or(|until| until <= now) {
            return 0;
        }
        limits
            .teams
            .get(&TeamId::new("red"))
            .map_or(0, |n| *n as usize)
    }
}

struct World {
    now: Instant,
    processes: Vec<Process>,
    /// Start times of running requests whose process has died.
    orphans: Vec<Instant>,
    records: Vec<Vec<u8>>,
    runs: u64,
}

impl World {
    fn open(ceiling: u32) -> Self {
        let now = Instant::now();
        Self {
            now,
            processes: (0..PROCESSES).map(|p| Process::open(p, 1, now)).collect(),
            orphans: Vec::new(),
            records: base_with(ceiling),
            runs: 1,
        }
    }

    fn run(&mut self, event: Event) {
        match event {
            Event::Start(p) => self.start(p),
            Event::End(p) => drop(self.processes[p].running.pop()),
            Event::Demand(p, waiting) => self.processes[p].waiting = waiting,
            Event::TakeView(p) => {
                let view = self.processes[p].core.view(self.now);
                self.processes[p].view = Arc::new(view);
            }
            Event::Report(p) => self.report(p),
            Event::Append(p, outcome) => self.append(p, outcome),
            Event::Poll(p) => self.poll(p),
            Event::Work(p) => self.work(p),
            Event::Beat(a, b) => self.beat(a, b),
            Event::Restart(p) => self.restart(p),
            Event::Repeat(n) => {
                let n = n % self.records.len();
                self.records.push(self.records[n].clone());
            }
            Event::Advance(ms, paused) => self.advance(Duration::from_millis(ms), paused),
        }
    }

    fn start(&mut self, p: usize) {
        let now = self.now;
        let process = &mut self.processes[p];
        if process.running.len() < process.limit(now) {
            process.running.push(now);
        }
    }

    fn report(&mut self, p: usize) {
        let process = &mut self.processes[p];
        let report = DemandReport {
            version: process.view.limits.version,
            demands: vec![TeamDemand {
                team: TeamId::new("red"),
                running: u32::try_from(process.running.len()).expect("small"),
                waiting: process.waiting,
            }],
        };
        process.core.receive_report(&report, self.now);
    }

    fn append(&mut self, p: usize, outcome: AppendOutcome) {
        let core = &mut self.processes[p].core;
        let batch = core.take_batch(self.now);
        let first = Offset(self.records.len() as u64);
        if matches!(outcome, AppendOutcome::Answered | AppendOutcome::AnswerLost) {
            self.records.extend(batch);
        }
        let lost = LogError::Unknown("cut".to_owned());
        let result = match outcome {
            AppendOutcome::Answered => Ok(first),
            AppendOutcome::AnswerLost | AppendOutcome::RecordLost => Err(&lost),
            AppendOutcome::Unavailable => Err(&LogError::Unavailable),
        };
        core.note_append_result(result, self.now);
    }

    fn poll(&mut self, p: usize) {
        let core = &mut self.processes[p].core;
        let first = core.state().offset();
        let from = usize::try_from(first.0).expect("small");
        let batch = Batch {
            oldest: Offset(0),
            head: Offset(self.records.len() as u64),
            first,
            records: self.records[from..].to_vec(),
        };
        assert_ne!(core.fold(&batch, self.now, self.now), Err(LogGap));
        core.rebalance(self.now);
    }

    fn work(&mut self, p: usize) {
        self.append(p, AppendOutcome::Answered);
        self.poll(p);
        for _ in 0..self.processes[p].waiting {
            self.start(p);
        }
        self.report(p);
    }

    fn beat(&mut self, a: usize, b: usize) {
        let sent = self.processes[a].core.make_heartbeat(self.now);
        self.processes[b].core.receive_heartbeat(&sent, self.now);
        let answer = self.processes[b].core.make_heartbeat(self.now);
        self.processes[a].core.receive_heartbeat(&answer, self.now);
    }

    fn restart(&mut self, p: usize) {
        self.runs += 1;
        let state = encode_snapshot(self.processes[p].core.state());
        let trust = self.processes[p].core.state().trust().clone();
        let mut process = Process::open(p, self.runs, self.now);
        process
            .core
            .adopt(decode_snapshot(&state, &trust).expect("valid"));
        let old = std::mem::replace(&mut self.processes[p], process);
        self.orphans.extend(old.running);
    }

    fn advance(&mut self, time: Duration, paused: usize) {
        self.now += time;
        let now = self.now;
        let runs = |start: &Instant| now.saturating_duration_since(*start) < RUN_LIMIT;
        self.orphans.retain(runs);
        for (p, process) in self.processes.iter_mut().enumerate() {
            process.running.retain(runs);
            if paused & (1 << p) == 0 {
                process.core.tick(now);
            }
        }
    }

    fn running(&self) -> usize {
        let running = self.processes.iter().map(|p| p.running.len());
        running.sum::<usize>() + self.orphans.len()
    }

    /// Runs one round of 50 ms without faults, in which every request ends.
    fn round(&mut self) {
        for p in 0..PROCESSES {
            self.run(Event::Append(p, AppendOutcome::Answered));
        }
        for p in 0..PROCESSES {
            self.run(Event::Poll(p));
            self.run(Event::TakeView(p));
            for _ in 0..self.processes[p].waiting {
                self.run(Event::Start(p));
            }
            self.run(Event::Report(p));
            self.run(Event::Beat(p, (p + 1) % PROCESSES));
            self.processes[p].running.clear();
        }
        self.advance(Duration::from_millis(50), 0);
    }

    fn rounds(&mut self, time: Duration) {
        for _ in 0..time.as_millis() / 50 {
            self.round();
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 150,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_interleaving_exceeds_the_ceiling(
        events in prop::collection::vec(event(), 100..600),
    ) {
        let mut world = World::open(8);
        let mut most = 0;

        for event in events {
            world.run(event);
            most = most.max(world.running());
        }

        prop_assert!(most <= 8, "{most} running");
    }
}

#[test]
fn demand_of_one_process_gets_the_ceiling_within_about_a_second() {
    let mut world = World::open(100);
    for p in 0..PROCESSES {
        world.processes[p].waiting = 40;
    }
    world.rounds(Duration::from_secs(3));
    let shared = world.processes[0].limit(world.now);
    for p in 1..PROCESSES {
        world.processes[p].waiting = 0;
    }
    world.processes[0].waiting = 500;

    world.rounds(Duration::from_millis(1_500));
    let skewed = world.processes[0].limit(world.now);

    assert!((30..=40).contains(&shared), "{shared}");
    assert!(skewed >= 95, "{skewed}");
}

/// Runs rounds of 100 ms without faults; requests end only at their run limit.
fn run_fault_free(world: &mut World, processes: &[usize], rounds: usize) {
    for _ in 0..rounds {
        for &p in processes {
            world.run(Event::Work(p));
            world.run(Event::TakeView(p));
        }
        world.run(Event::Advance(100, 0));
    }
}

#[test]
fn a_part_in_use_is_given_back_only_as_its_requests_end() {
    let mut world = World::open(8);
    world.processes[0].waiting = 30;
    run_fault_free(&mut world, &[0, 1, 2], 10);
    let alone = world.processes[0].running.len();
    world.processes[1].waiting = 30;

    run_fault_free(&mut world, &[0, 1, 2], 20);
    let in_use = world.running();
    world.processes[0].waiting = 0;
    world.processes[0].running.clear();
    run_fault_free(&mut world, &[0, 1, 2], 20);

    assert!(alone >= 6, "{alone}");
    assert_eq!(in_use, 8);
    assert!(world.processes[1].running.len() >= 6);
}

#[test]
fn a_new_run_uses_what_the_earlier_run_held_only_after_the_longest_request() {
    let mut world = World::open(8);
    world.processes[0].waiting = 30;
    run_fault_free(&mut world, &[0], 10);
    let before = world.processes[0].running.len();

    world.run(Event::Restart(0));
    world.processes[0].waiting = 30;
    run_fault_free(&mut world, &[0], 10);
    let at_once = world.running();
    run_fault_free(&mut world, &[0], 60);

    assert_eq!((before, at_once), (8, 8));
    assert_eq!(world.processes[0].limit(world.now), 8);
}

#[test]
fn processes_restarted_under_the_same_ids_while_the_log_is_unreachable_get_their_parts_back() {
    let mut world = World::open(9);
    for p in 0..PROCESSES {
        world.processes[p].waiting = 30;
    }
    run_fault_free(&mut world, &[0, 1, 2], 30);
    let before: Vec<usize> = world.processes.iter().map(|p| p.limit(world.now)).collect();

    for p in 0..PROCESSES {
        world.run(Event::Restart(p));
        world.processes[p].waiting = 30;
    }
    run_without_the_log(&mut world, 40);
    let early = world.processes.iter().any(|p| p.limit(world.now) > 0);
    run_without_the_log(&mut world, 20);

    let after: Vec<usize> = world.processes.iter().map(|p| p.limit(world.now)).collect();
    assert_eq!(before.iter().sum::<usize>(), 9);
    assert!(!early);
    assert_eq!(after, before);
}

#[test]
fn a_new_run_counts_its_wait_from_when_others_have_heard_it() {
    let mut world = World::open(8);
    world.processes[0].waiting = 30;
    run_fault_free(&mut world, &[0, 1, 2], 10);
    world.run(Event::Restart(0));
    for _ in 0..120 {
        world.run(Event::Beat(1, 2));
        world.advance(Duration::from_secs(1), 0);
    }

    run_without_the_log(&mut world, 2);
    let at_once = world.processes[0].limit(world.now);
    run_without_the_log(&mut world, 60);

    assert_eq!(at_once, 0);
    assert!(world.processes[0].limit(world.now) > 0);
}

/// Runs for some seconds in which the log is unavailable and heartbeats get through.
fn run_without_the_log(world: &mut World, seconds: usize) {
    for _ in 0..seconds {
        for p in 0..PROCESSES {
            world.run(Event::Append(p, AppendOutcome::Unavailable));
            world.run(Event::Beat(p, (p + 1) % PROCESSES));
            world.run(Event::TakeView(p));
            world.run(Event::Report(p));
        }
        world.advance(Duration::from_secs(1), 0);
    }
}

#[test]
fn nothing_is_given_back_before_the_traffic_threads_have_reported() {
    let mut world = World::open(8);
    let follow = |world: &mut World, p: usize| {
        for _ in 0..4 {
            world.run(Event::Append(p, AppendOutcome::Answered));
            world.run(Event::Poll(p));
            world.run(Event::TakeView(p));
            world.run(Event::Advance(100, 0));
        }
    };
    follow(&mut world, 0);
    let alone = world.processes[0].limit(world.now);
    for _ in 0..alone {
        world.run(Event::Start(0));
    }

    follow(&mut world, 1);
    follow(&mut world, 2);
    follow(&mut world, 0);

    assert_eq!(alone, 4);
    let held = AllotmentHolder::Member(MemberId::new("m0"));
    let state = world.processes[0].core.state();
    assert_eq!(state.share(&TeamId::new("red"), &held), 4);
}

#[test]
fn equal_demands_get_equal_parts() {
    let mut world = World::open(90);
    world.processes[0].waiting = 500;
    world.rounds(Duration::from_secs(3));
    world.processes[1].waiting = 500;
    world.processes[2].waiting = 500;

    world.rounds(Duration::from_secs(20));

    for process in &world.processes {
        let limit = process.limit(world.now);
        assert!((27..=33).contains(&limit), "{limit}");
    }
}

#[test]
fn a_process_that_is_cut_off_from_all_stops_before_it_is_retired() {
    let mut world = World::open(8);
    world.processes[0].waiting = 20;
    world.rounds(Duration::from_secs(3));
    let before = world.processes[0].limit(world.now);

    world.advance(Duration::from_secs(41), 1);

    assert!(before > 0);
    assert_eq!(world.processes[0].limit(world.now), 0);
}

#[test]
fn a_data_centre_that_is_cut_off_from_the_log_keeps_its_parts() {
    let mut world = World::open(8);
    world.processes[0].waiting = 20;
    world.rounds(Duration::from_secs(3));
    let before = world.processes[0].limit(world.now);

    run_without_the_log(&mut world, 600);

    assert!(before > 0);
    assert_eq!(world.processes[0].limit(world.now), before);
}

#[test]
fn the_part_of_a_dead_process_comes_back_after_its_requests_have_ended() {
    let mut world = World::open(8);
    world.processes[2].waiting = 20;
    world.rounds(Duration::from_secs(3));
    assert!(world.processes[2].limit(world.now) >= 4);
    world.processes[0].waiting = 20;

    let members = |world: &World| world.processes[0].core.state().facts().members.len();
    run_without_the_third(&mut world, 50);
    let early = members(&world);
    run_without_the_third(&mut world, 40);

    assert_eq!((early, members(&world)), (3, 2));
    assert!(world.processes[0].limit(world.now) >= 7);
}

/// Runs for some seconds without faults in which the third process is paused.
fn run_without_the_third(world: &mut World, seconds: usize) {
    for _ in 0..seconds {
        for p in 0..2 {
            world.run(Event::Work(p));
            world.run(Event::TakeView(p));
        }
        world.run(Event::Beat(0, 1));
        world.advance(Duration::from_secs(1), 4);
    }
}

#[test]
fn a_process_that_hears_a_minority_of_its_data_centre_retires_nobody() {
    let mut world = World::open(8);
    world.rounds(Duration::from_secs(3));

    for _ in 0..120 {
        world.run(Event::Work(0));
        world.advance(Duration::from_secs(1), 6);
    }

    assert_eq!(world.processes[0].core.state().facts().members.len(), 3);
}
