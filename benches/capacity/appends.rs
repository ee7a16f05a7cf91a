//! Appends and records a second that members make by themselves, in virtual time.
//!
//! Demand of each team moves between the data centres, in bursts of five times its mean
//! and lulls of a twentieth. A round is the time between two appends of a process.

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

use crate::fleet::{AIM, DATA_CENTRES, Size, Writer, sections, team};

const SECRET: [u8; 32] = [7; 32];
const SETTLE_ROUNDS: u64 = 200;
const ROUNDS: u64 = 400;
const SEED: u64 = 41;

/// Rounds for which a burst or a lull of a team lasts.
const PHASE_ROUNDS: u64 = 100;

/// Mean running requests of a team in the whole fleet; the ceiling is 120.
const MEAN: u32 = 20;

pub(crate) fn run() {
    for members in [8, 24, 80] {
        measure(members, AIM.teams);
    }
    for teams in [6, 35] {
        measure(24, teams);
    }
}

#[derive(Default)]
struct Counts {
    appends: u64,
    records: u64,
    transfers: u64,
    registrations: u64,
    bytes: usize,
}

struct World {
    now: Instant,
    cores: Vec<Core>,
    /// Offset of the first record in `log`; what came before is the document.
    base: Offset,
    log: Vec<Vec<u8>>,
    rng: Rng,
    teams: usize,
    /// Requests of each team at each member.
    demand: Vec<Vec<u32>>,
}

fn measure(members: usize, teams: usize) {
    let mut world = World::open(members, teams);
    let mut settling = Counts::default();
    for round in 0..SETTLE_ROUNDS {
        world.round(round, &mut settling);
    }
    let mut counts = Counts::default();
    let cpu = Instant::now();
    for round in 0..ROUNDS {
        world.round(SETTLE_ROUNDS + round, &mut counts);
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
        world.accepted(),
        cpu.elapsed().as_millis(),
    );
}

impl World {
    fn open(members: usize, teams: usize) -> Self {
        let now = Instant::now();
        let settings = Settings {
            heartbeats: false,
            ..Settings::default()
        };
        let size = Size { teams, ..AIM };
        let mut writer = Writer::open();
        for section in sections(&size) {
            writer.accept(section);
        }
        let cores = (0..members).map(|n| {
            let mut core = Core::new(&common(n), &settings, Incarnation(1), now);
            core.adopt(writer.state.clone());
            core.set_peer_address(([10, 0, 0, 1], 7_000).into(), now);
            core
        });
        Self {
            now,
            cores: cores.collect(),
            base: writer.state.offset(),
            log: Vec::new(),
            rng: Rng::with_seed(SEED),
            teams,
            demand: vec![vec![0; teams]; members],
        }
    }

    fn round(&mut self, round: u64, counts: &mut Counts) {
        self.now += Duration::from_millis(MIN_APPEND_INTERVAL_MS);
        self.draw(round);
        for n in 0..self.cores.len() {
            let batch = self.batch(n);
            let core = &mut self.cores[n];
            core.fold(&batch, self.now, self.now).expect("no gap");
            if round.is_multiple_of(5) {
                core.tick(self.now);
            }
            let report = report(core, &self.demand[n], self.now);
            core.receive_report(&report, self.now);
            let records = core.take_batch(self.now);
            let first = Offset(self.base.0 + self.log.len() as u64);
            if !records.is_empty() {
                counts.note(&records);
                core.note_append_result(Ok(first), self.now);
                self.log.extend(records);
            }
        }
    }

    /// Each team bursts or rests for a while, at its own time.
    fn draw(&mut self, round: u64) {
        let members = self.cores.len();
        for team in 0..self.teams {
            if !(round + 17 * team as u64).is_multiple_of(PHASE_ROUNDS) && round > 0 {
                continue;
            }
            let burst = self.rng.bool();
            let total = if burst { 5 * MEAN } else { MEAN / 20 };
            for demand in &mut self.demand {
                demand[team] = 0;
            }
            let owner = self.rng.usize(0..members);
            self.demand[owner][team] = total;
        }
    }

    fn batch(&self, n: usize) -> Batch {
        let from = self.cores[n].state().offset();
        let start = usize::try_from(from.0 - self.base.0).expect("small");
        Batch {
            oldest: Offset(0),
            head: Offset(self.base.0 + self.log.len() as u64),
            first: from,
            records: self.log[start..].to_vec(),
        }
    }

    /// Records that the first member's fold still remembers as accepted, of all those.
    fn accepted(&self) -> String {
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
    fn note(&mut self, records: &[Vec<u8>]) {
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

/// The member runs what its limits allow and keeps to them at once.
fn report(core: &Core, demand: &[u32], now: Instant) -> DemandReport {
    let view = core.view(now);
    let demands = demand.iter().enumerate().map(|(n, wanted)| {
        let id = TeamId::new(&team(n));
        let limit = view.limits.teams.get(&id).copied().unwrap_or(0);
        TeamDemand {
            team: id,
            running: limit.min(*wanted),
            waiting: wanted.saturating_sub(limit),
        }
    });
    DemandReport {
        version: view.limits.version,
        demands: demands.filter(|d| d.running + d.waiting > 0).collect(),
    }
}

fn common(n: usize) -> CommonConfig {
    CommonConfig {
        secret: FleetSecret::new(SECRET),
        ..dev::common_config(
            &format!("entry-{n:02}"),
            &format!("dc-{}", n % DATA_CENTRES),
        )
    }
}
