//! Virtual-time model of the ways that the product does not have: first in, first out,
//! and entries that queue for themselves with split slots.
#![allow(dead_code)] // Each bench uses a part of it.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use fastrand::Rng;

use crate::site::{RUN_MS, number};

const RUN_US: u64 = RUN_MS * 1_000;
const SEED: u64 = 71;

/// A request that comes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) at_us: u64,
    pub(crate) team: usize,
    pub(crate) urgent: bool,
    /// Time after which it is not started.
    pub(crate) wait_us: u64,
}

/// A request that starts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Start {
    pub(crate) arrival: Arrival,
    pub(crate) at_us: u64,
}

/// How requests are queued.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Way {
    pub(crate) name: &'static str,
    /// Entries with an even part of the slots each.
    pub(crate) parts: usize,
    /// By share among teams and urgent first, or first in, first out.
    pub(crate) fair: bool,
}

pub(crate) const WAYS: [Way; 2] = [
    Way {
        name: "model-fifo",
        parts: 1,
        fair: false,
    },
    Way {
        name: "model-split",
        parts: 4,
        fair: true,
    },
];

/// Bounds of the pool.
#[derive(Clone, Debug)]
pub(crate) struct Pool {
    pub(crate) shares: Vec<u64>,
    pub(crate) slots: u64,
    pub(crate) max_queued: usize,
}

/// Starts of all requests; `arrivals` are sorted by time.
pub(crate) fn run(way: &Way, pool: &Pool, arrivals: &[Arrival]) -> Vec<Start> {
    let mut rng = Rng::with_seed(SEED);
    let mut parts: Vec<Part> = (0..way.parts).map(|_| Part::new(way, pool)).collect();
    for arrival in arrivals {
        parts[rng.usize(..way.parts)].arrive(*arrival);
    }
    let starts = parts.into_iter().flat_map(Part::finish);
    starts.collect()
}

#[derive(Default)]
struct Lane {
    share: u64,
    urgent: VecDeque<Arrival>,
    other: VecDeque<Arrival>,
    served: f64,
}

impl Lane {
    fn first(&self) -> Option<&Arrival> {
        self.urgent.front().or(self.other.front())
    }

    fn oldest(&self) -> Option<u64> {
        let fronts = [self.urgent.front(), self.other.front()];
        fronts.into_iter().flatten().map(|a| a.at_us).min()
    }

    fn take(&mut self) -> Option<Arrival> {
        self.urgent.pop_front().or_else(|| self.other.pop_front())
    }
}

struct Part {
    fair: bool,
    lanes: Vec<Lane>,
    max_queued: usize,
    queued: usize,
    free: BinaryHeap<Reverse<u64>>,
    now: u64,
    floor: f64,
    starts: Vec<Start>,
}

impl Part {
    fn new(way: &Way, pool: &Pool) -> Self {
        let lanes = pool.shares.iter().map(|share| Lane {
            share: *share,
            ..Lane::default()
        });
        let slots = pool.slots / way.parts as u64;
        Self {
            fair: way.fair,
            lanes: lanes.collect(),
            max_queued: pool.max_queued / way.parts,
            queued: 0,
            free: (0..slots).map(|_| Reverse(0)).collect(),
            now: 0,
            floor: 0.0,
            starts: Vec::new(),
        }
    }

    fn arrive(&mut self, arrival: Arrival) {
        self.start_until(arrival.at_us);
        self.now = arrival.at_us;
        if self.queued < self.max_queued {
            self.push(arrival);
        }
        self.start_until(arrival.at_us);
    }

    fn push(&mut self, arrival: Arrival) {
        self.queued += 1;
        let lane = &mut self.lanes[arrival.team];
        if lane.first().is_none() {
            lane.served = lane.served.max(self.floor);
        }
        // Without urgencies all wait in one line.
        if arrival.urgent && self.fair {
            lane.urgent.push_back(arrival);
        } else {
            lane.other.push_back(arrival);
        }
    }

    fn start_until(&mut self, until: u64) {
        while self.queued > 0 && self.free.peek().is_some_and(|free| free.0 <= until) {
            let Some(Reverse(free)) = self.free.pop() else {
                return;
            };
            let at_us = free.max(self.now);
            let ends = self.next(at_us).map_or(free, |arrival| {
                self.starts.push(Start { arrival, at_us });
                at_us + RUN_US
            });
            self.free.push(Reverse(ends));
        }
    }

    fn next(&mut self, now: u64) -> Option<Arrival> {
        let team = self.choose()?;
        let lane = &mut self.lanes[team];
        let arrival = lane.take()?;
        self.queued -= 1;
        if arrival.at_us + arrival.wait_us < now {
            return None;
        }
        self.floor = self.floor.max(lane.served);
        lane.served += 1.0 / number(lane.share);
        Some(arrival)
    }

    fn choose(&self) -> Option<usize> {
        let waiting = (0..self.lanes.len()).filter(|i| self.lanes[*i].first().is_some());
        if self.fair {
            return waiting.min_by(|a, b| self.lanes[*a].served.total_cmp(&self.lanes[*b].served));
        }
        waiting.min_by_key(|i| self.lanes[*i].oldest())
    }

    fn finish(mut self) -> Vec<Start> {
        self.start_until(u64::MAX);
        self.starts
    }
}
