//! Time from the append of an edit until it is in force in 24 control threads, which
//! follow the stand-in log over loopback.

use std::thread::sleep;
use std::time::{Duration, Instant};

use amaranthwick::config::CommonConfig;
use amaranthwick::control::{self, Control};
use amaranthwick::dev;
use amaranthwick::id::{DataCentre, Offset, RecordId, TeamId};
use amaranthwick::ledger::{Proposal, Record, encode_edit};
use amaranthwick::membership::NoPeers;
use amaranthwick::secret::FleetSecret;
use amaranthwick::services::{Log, LogClient, VmsClient};
use amaranthwick_standins::{Fleet, FleetSpec};
use futures_lite::future::block_on;

use crate::fleet::{AIM, edit, sections, team, team_text};

const PROCESSES: usize = 24;
const EDITS: usize = 60;
const BURST: usize = 200;
const LOOK: Duration = Duration::from_millis(1);
const PATIENCE: Duration = Duration::from_mins(1);

/// About 16,000 changes a day, five times as fast.
const PAUSE: Duration = Duration::from_millis(1_080);

pub(crate) fn run() {
    let fleet = Fleet::open(&FleetSpec::default()).expect("stand-ins");
    let controls: Vec<Control> = (0..PROCESSES).map(|n| open(&fleet, n)).collect();
    let log = LogClient::new(fleet.log_address(), &DataCentre::new("dc-0"));
    append(&log, sections(&AIM));
    wait(&controls, 0, 10);
    singles(&log, &controls);
    burst(&log, &controls);
}

fn open(fleet: &Fleet, n: usize) -> Control {
    let common = CommonConfig {
        secret: FleetSecret::new([7; 32]),
        ..dev::common_config_on(fleet, &format!("entry-{n:02}"), &format!("dc-{}", n % 10))
    };
    let log = LogClient::new(fleet.log_address(), &common.data_centre);
    let vms = VmsClient::new(fleet.vms_address(), &common.data_centre);
    control::spawn(&common, log, vms, NoPeers).expect("control thread")
}

fn singles(log: &LogClient, controls: &[Control]) {
    let mut times = Vec::with_capacity(EDITS);
    for n in 0..EDITS {
        sleep(PAUSE);
        let share = 100 + n;
        let began = Instant::now();
        append(log, vec![change(0, 1 + n as u64, share)]);
        wait(controls, 0, share);
        times.push(began.elapsed());
    }
    times.sort();
    println!(
        "spread=single processes={PROCESSES} edits={EDITS} p50_ms={:.1} p99_ms={:.1}",
        millis(times[EDITS / 2]),
        millis(times[EDITS * 99 / 100])
    );
}

/// Edits of many teams, appended one by one as fast as the log takes them.
fn burst(log: &LogClient, controls: &[Control]) {
    let first = EDITS as u64 + 1;
    let changes: Vec<Proposal> = (0..BURST)
        .map(|n| {
            let (at, round) = (n % AIM.teams, (n / AIM.teams) as u64);
            let base = if at == 0 { first + round } else { 1 + round };
            change(at, base, 500 + n)
        })
        .collect();
    let last = BURST - 1;
    let began = Instant::now();
    for proposal in changes {
        append(log, vec![proposal]);
    }
    let appended = began.elapsed();
    wait(controls, last % AIM.teams, 500 + last);
    println!(
        "spread=burst processes={PROCESSES} edits={BURST} appended_ms={:.0} everywhere_ms={:.0}",
        millis(appended),
        millis(began.elapsed())
    );
}

fn change(n: usize, base: u64, share: usize) -> Proposal {
    let text = team_text(&AIM, n, share);
    edit(&team(n), base, &text, &format!("{}-ops", team(n)))
}

fn append(log: &LogClient, proposals: Vec<Proposal>) {
    let records: Vec<Vec<u8>> = proposals
        .into_iter()
        .map(|proposal| {
            encode_edit(&Record {
                id: RecordId::random(),
                proposed_at: Offset(0),
                proposal,
            })
        })
        .collect();
    let began = Instant::now();
    while block_on(log.append("control", &records)).is_err() {
        assert!(began.elapsed() < PATIENCE, "the log takes no record");
        sleep(LOOK);
    }
}

/// Waits until the team's share is in force everywhere.
fn wait(controls: &[Control], n: usize, share: usize) {
    let id = TeamId::new(&team(n));
    let in_force = |control: &Control| {
        let view = control.view();
        let found = view.document.as_ref().and_then(|d| d.teams.get(&id));
        found.is_some_and(|team| team.share as usize == share)
    };
    let began = Instant::now();
    while !controls.iter().all(in_force) {
        assert!(began.elapsed() < PATIENCE, "not in force everywhere");
        sleep(LOOK);
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
