//! Appends and records per second that members make of their own accord, in virtual time.
//!
//! The demand of each team moves between members in all data centres, in bursts of five times
//! [`BASE_DEMAND`] and lulls of a twentieth of it. A round is the least time between two appends
//! of a process.

use std::time::{Duration, Instant};

use amaranthwick::config::CommonConfig;
use amaranthwick::control::{Core, MIN_APPEND_INTERVAL_MS, Settings};
use amaranthwick::dev;
use amaranthwick::id::{Incarnation, Offset, TeamId};
use amaranthwick::ledger::{Proposal, Verdict, decode_record};
use amaranthwick::membership::{DemandReport, TeamDemand};
use amaranthwick::secret::FleetSecret;
use amaranthwick::services::Batch;
use fastrand::Rng;

use crate::fleet::{DATA_CENTRES, FleetSize, FoldedLog, TARGET_SIZE, section_edits, team_name};

const SECRET: [u8; 32] = [7; 32];
/// Rounds before those that count.
const WARM_UP_ROUNDS: u64 = 200;

const ROUNDS: u64 = 400;
const SEED: u64 = 41;

/// Rounds that a burst or a lull of a team lasts.
const PHASE_ROUNDS: u64 = 100;

/// Requests of a team in the whole fleet, which bursts and lulls multiply; the ceiling is 120.
const BASE_DEMAND: u32 = 20;

pub(crate) fn run() {
    for members in [8, 24, 80] {
        measure(members, TARGET_SIZE.teams);
    }
    for teams in [6, 35] {
        measure(24, teams);
    }
}

/// What the members have appended.
#[derive(Default)]
struct Counts {
    appends: u64,
    records: u64,
    transfers: u64,
    registrations: u64,
    bytes: usize,
}

/// Members that share one log, and the demand on them.
struct Simulation {
    now: Instant,
    cores: Vec<Core>,
    /// Offset of the first record in `log`; those before it are the document's sections.
    first_offset: Offset,
    log: Vec<Vec<u8>>,
    rng: Rng,
    teams: usize,
    /// Requests that want to run: for each member, those of each team.
    demand: Vec<Vec<u32>>,
}

fn measure(members: usize, teams: usize) {
    let mut simulation = Simulation::open(members, teams);
    let mut warm_up = Counts::default();
    for round in 0..WARM_UP_ROUNDS {
        simulation.run_round(round, &mut warm_up);
    }
    let mut counts = Counts::default();
    let started = Instant::now();
    for round in 0..ROUNDS {
        simulation.run_round(WARM_UP_ROUNDS + round, &mut counts);
    }
    let seconds = (ROUNDS * MIN_APPEND_INTERVAL_MS) as f64 / 1_000.0;
    let per_s = |count: u64| count as f64 / seconds;
    println!(
        "appends=members members={members} teams={teams} appends_per_s={:.1} records_per_s={:.1} \
         transfers_per_s={:.1} registrations_per_s={:.2} bytes_per_s={:.0} accepted_all={} \
         real_ms={}",
        per_s(counts.appends),
        per_s(counts.records),
        per_s(counts.transfers),
        per_s(counts.registrations),
        counts.bytes as f64 / seconds,
        simulation.accepted_ratio(),
        started.elapsed().as_millis(),
    );
}

impl Simulation {
    fn open(members: usize, teams: usize) -> Self {
        let now = Instant::now();
        let settings = Settings {
            heartbeats: false,
            ..Settings::default()
        };
        let size = FleetSize {
            teams,
            ..TARGET_SIZE
        };
        let mut document_log = FoldedLog::open();
        for section in section_edits(&size) {
            document_log.apply_accepted(section);
        }
        let cores = (0..members).map(|n| {
            let mut core = Core::new(&member_config(n), &settings, Incarnation(1), now);
            core.adopt(document_log.state.clone());
            core.set_peer_address(([10, 0, 0, 1], 7_000).into(), now);
            core
        });
        Self {
            now,
            cores: cores.collect(),
            first_offset: document_log.state.offset(),
            log: Vec::new(),
            rng: Rng::with_seed(SEED),
            teams,
            demand: vec![vec![0; teams]; members],
        }
    }

    /// Lets each member read the log, take in its demand and append, one after the other.
    fn run_round(&mut self, round: u64, counts: &mut Counts) {
        self.now += Duration::from_millis(MIN_APPEND_INTERVAL_MS);
        self.draw_demand(round);
        for n in 0..self.cores.len() {
            let batch = self.unread_batch(n);
            let core = &mut self.cores[n];
            core.fold(&batch, self.now, self.now).expect("no gap");
            if round.is_multiple_of(5) {
                core.tick(self.now);
            }
            let report = demand_report(core, &self.demand[n], self.now);
            core.receive_report(&report, self.now);
            let records = core.take_batch(self.now);
            let first = Offset(self.first_offset.0 + self.log.len() as u64);
            if !records.is_empty() {
                counts.add(&records);
                core.note_append_result(Ok(first), self.now);
                self.log.extend(records);
            }
        }
    }

    /// Draws new demand for the teams whose phase ends in this round: a burst or a lull, at one
    /// member. The phases of the teams are staggered by 17 rounds.
    fn draw_demand(&mut self, round: u64) {
        let members = self.cores.len();
        for team in 0..self.teams {
            if !(round + 17 * team as u64).is_multiple_of(PHASE_ROUNDS) && round > 0 {
                continue;
            }
            let burst = self.rng.bool();
            let total = if burst {
                5 * BASE_DEMAND
            } else {
                BASE_DEMAND / 20
            };
            for demand in &mut self.demand {
                demand[team] = 0;
            }
            let member = self.rng.usize(0..members);
            self.demand[member][team] = total;
        }
    }

    /// Records of the log that member `n` has not folded yet.
    fn unread_batch(&self, n: usize) -> Batch {
        let from = self.cores[n].state().offset();
        let start = usize::try_from(from.0 - self.first_offset.0).expect("small");
        Batch {
            oldest: Offset(0),
            head: Offset(self.first_offset.0 + self.log.len() as u64),
            first: from,
            records: self.log[start..].to_vec(),
        }
    }

    /// Accepted records of all those among the newest 1,000 whose verdicts the first member still
    /// remembers, as `ACCEPTED/ALL`.
    fn accepted_ratio(&self) -> String {
        let state = self.cores[0].state();
        let newest = &self.log[self.log.len().saturating_sub(1_000)..];
        let verdicts = newest.iter().filter_map(|bytes| {
            let record = decode_record(bytes, &FleetSecret::new(SECRET)).ok()?;
            state.verdict(record.id)
        });
        let (mut accepted, mut all) = (0, 0);
        for verdict in verdicts {
            all += 1;
            accepted += u32::from(matches!(verdict, Verdict::Accepted(_)));
        }
        format!("{accepted}/{all}")
    }
}

impl Counts {
    fn add(&mut self, records: &[Vec<u8>]) {
        self.appends += 1;
        self.records += records.len() as u64;
        for bytes in records {
            self.bytes += bytes.len();
            match decode_record(bytes, &FleetSecret::new(SECRET)).map(|record| record.proposal) {
                Ok(Proposal::Transfer { .. }) => self.transfers += 1,
                Ok(Proposal::Register(_)) => self.registrations += 1,
                _ => {}
            }
        }
    }
}

/// Report of a member that runs as many requests as its limits allow and keeps to new limits at
/// once.
fn demand_report(core: &Core, demand: &[u32], now: Instant) -> DemandReport {
    let view = core.view(now);
    let demands = demand.iter().enumerate().map(|(n, requests)| {
        let id = TeamId::new(&team_name(n));
        let limit = view.limits.teams.get(&id).copied().unwrap_or(0);
        TeamDemand {
            team: id,
            running: limit.min(*requests),
            waiting: requests.saturating_sub(limit),
        }
    });
    DemandReport {
        version: view.limits.version,
        demands: demands.filter(|d| d.running + d.waiting > 0).collect(),
    }
}

fn member_config(n: usize) -> CommonConfig {
    CommonConfig {
        secret: FleetSecret::new(SECRET),
        ..dev::common_config(
            &format!("entry-{n:02}"),
            &format!("dc-{}", n % DATA_CENTRES),
        )
    }
}
