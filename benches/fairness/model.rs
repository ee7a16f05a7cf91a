//! Simulates in virtual time queue disciplines that the product does not have: first in, first
//! out, and entries that each queue requests on their own for an equal part of the slots.
#![allow(dead_code)] // Each bench uses only some of it.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use fastrand::Rng;

use crate::deployment::{RUN_MS, to_f64};

const RUN_US: u64 = RUN_MS * 1_000;
const SEED: u64 = 71;

/// Arrival of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    /// Time since the start of the load.
    pub(crate) at_us: u64,
    /// Index in [`Pool::shares`].
    pub(crate) team: usize,
    pub(crate) urgent: bool,
    /// Longest wait for a slot; a request that has waited longer is not started.
    pub(crate) wait_us: u64,
}

/// Start of a request on a slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Start {
    pub(crate) arrival: Arrival,
    pub(crate) at_us: u64,
}

/// How requests are queued.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueDiscipline {
    /// Value of `way` in the output.
    pub(crate) name: &'static str,
    /// Number of entries, each with an equal part of the slots.
    pub(crate) entries: usize,
    /// True if teams are served by share and their urgent requests first; false for first in,
    /// first out.
    pub(crate) fair: bool,
}

pub(crate) const DISCIPLINES: [QueueDiscipline; 2] = [
    QueueDiscipline {
        name: "model-fifo",
        entries: 1,
        fair: false,
    },
    QueueDiscipline {
        name: "model-split",
        entries: 4,
        fair: true,
    },
];

/// The pool that serves the requests: the teams' shares and its bounds.
#[derive(Clone, Debug)]
pub(crate) struct Pool {
    pub(crate) shares: Vec<u64>,
    pub(crate) slots: u64,
    pub(crate) max_queued: usize,
}

/// Starts of all requests that are started; `arrivals` must be sorted by time, and each goes to
/// an entry chosen at random.
pub(crate) fn simulate(
    discipline: &QueueDiscipline,
    pool: &Pool,
    arrivals: &[Arrival],
) -> Vec<Start> {
    let mut rng = Rng::with_seed(SEED);
    let mut entries: Vec<SimulatedEntry> = (0..discipline.entries)
        .map(|_| SimulatedEntry::new(discipline, pool))
        .collect();
    for arrival in arrivals {
        entries[rng.usize(..discipline.entries)].receive(*arrival);
    }
    let starts = entries.into_iter().flat_map(SimulatedEntry::finish);
    starts.collect()
}

/// Waiting requests of one team at one entry.
#[derive(Default)]
struct TeamQueue {
    share: u64,
    urgent: VecDeque<Arrival>,
    other: VecDeque<Arrival>,
    /// Virtual start time of the team's next request; each start adds 1 / `share`.
    virtual_start: f64,
}

impl TeamQueue {
    fn front(&self) -> Option<&Arrival> {
        self.urgent.front().or(self.other.front())
    }

    fn oldest_at_us(&self) -> Option<u64> {
        let both = [self.urgent.front(), self.other.front()];
        both.into_iter().flatten().map(|a| a.at_us).min()
    }

    fn pop(&mut self) -> Option<Arrival> {
        self.urgent.pop_front().or_else(|| self.other.pop_front())
    }
}

/// An entry with a queue for each team and slots of its own; start-time fair queueing picks the
/// next team.
struct SimulatedEntry {
    fair: bool,
    teams: Vec<TeamQueue>,
    max_queued: usize,
    queued: usize,
    /// When each slot becomes free, the earliest first.
    slots_free_at_us: BinaryHeap<Reverse<u64>>,
    /// Time of the last arrival.
    now_us: u64,
    /// Highest virtual start time of a request started so far; a team whose queue was empty
    /// continues from here.
    virtual_time: f64,
    starts: Vec<Start>,
}

impl SimulatedEntry {
    fn new(discipline: &QueueDiscipline, pool: &Pool) -> Self {
        let teams = pool.shares.iter().map(|share| TeamQueue {
            share: *share,
            ..TeamQueue::default()
        });
        let slots = pool.slots / discipline.entries as u64;
        Self {
            fair: discipline.fair,
            teams: teams.collect(),
            max_queued: pool.max_queued / discipline.entries,
            queued: 0,
            slots_free_at_us: (0..slots).map(|_| Reverse(0)).collect(),
            now_us: 0,
            virtual_time: 0.0,
            starts: Vec::new(),
        }
    }

    fn receive(&mut self, arrival: Arrival) {
        self.start_until(arrival.at_us);
        self.now_us = arrival.at_us;
        if self.queued < self.max_queued {
            self.push(arrival);
        }
        self.start_until(arrival.at_us);
    }

    fn push(&mut self, arrival: Arrival) {
        self.queued += 1;
        let queue = &mut self.teams[arrival.team];
        if queue.front().is_none() {
            queue.virtual_start = queue.virtual_start.max(self.virtual_time);
        }
        // First in, first out ignores urgency.
        if arrival.urgent && self.fair {
            queue.urgent.push_back(arrival);
        } else {
            queue.other.push_back(arrival);
        }
    }

    /// Starts waiting requests on all slots that become free until then.
    fn start_until(&mut self, until_us: u64) {
        while self.queued > 0
            && self
                .slots_free_at_us
                .peek()
                .is_some_and(|free| free.0 <= until_us)
        {
            let Some(Reverse(free)) = self.slots_free_at_us.pop() else {
                return;
            };
            let at_us = free.max(self.now_us);
            let ends = self.start_next(at_us).map_or(free, |arrival| {
                self.starts.push(Start { arrival, at_us });
                at_us + RUN_US
            });
            self.slots_free_at_us.push(Reverse(ends));
        }
    }

    /// Takes the next request from its queue; `None` if it has waited too long or none waits.
    fn start_next(&mut self, now_us: u64) -> Option<Arrival> {
        let team = self.choose_team()?;
        let queue = &mut self.teams[team];
        let arrival = queue.pop()?;
        self.queued -= 1;
        if arrival.at_us + arrival.wait_us < now_us {
            return None;
        }
        self.virtual_time = self.virtual_time.max(queue.virtual_start);
        queue.virtual_start += 1.0 / to_f64(queue.share);
        Some(arrival)
    }

    fn choose_team(&self) -> Option<usize> {
        let waiting = (0..self.teams.len()).filter(|i| self.teams[*i].front().is_some());
        if self.fair {
            return waiting.min_by(|a, b| {
                self.teams[*a]
                    .virtual_start
                    .total_cmp(&self.teams[*b].virtual_start)
            });
        }
        waiting.min_by_key(|i| self.teams[*i].oldest_at_us())
    }

    fn finish(mut self) -> Vec<Start> {
        self.start_until(u64::MAX);
        self.starts
    }
}
