//! Time from the append of an edit until it is in force in 24 control threads, which follow the
//! log of the stand-ins over loopback.

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

use crate::fleet::{TARGET_SIZE, edit, section_edits, team_name, team_section};

/// Control threads, one for each entry process that they stand for.
const PROCESSES: usize = 24;

/// Edits that are appended one at a time.
const EDITS: usize = 60;

/// Edits that are appended without a pause.
const BURST: usize = 200;

const POLL_INTERVAL: Duration = Duration::from_millis(1);
const TIMEOUT: Duration = Duration::from_mins(1);

/// Pause before each single edit: five times the rate of about 16,000 edits a day.
const EDIT_INTERVAL: Duration = Duration::from_millis(1_080);

pub(crate) fn run() {
    let fleet = Fleet::open(&FleetSpec::default()).expect("stand-ins");
    let controls: Vec<Control> = (0..PROCESSES).map(|n| spawn_control(&fleet, n)).collect();
    let log = LogClient::new(fleet.log_address(), &DataCentre::new("dc-0"));
    append(&log, section_edits(&TARGET_SIZE));
    wait_for_share(&controls, 0, 10);
    measure_single_edits(&log, &controls);
    measure_burst(&log, &controls);
}

fn spawn_control(fleet: &Fleet, n: usize) -> Control {
    let common = CommonConfig {
        secret: FleetSecret::new([7; 32]),
        ..dev::common_config_on(fleet, &format!("entry-{n:02}"), &format!("dc-{}", n % 10))
    };
    let log = LogClient::new(fleet.log_address(), &common.data_centre);
    let vms = VmsClient::new(fleet.vms_address(), &common.data_centre);
    control::spawn(&common, log, vms, NoPeers).expect("control thread")
}

fn measure_single_edits(log: &LogClient, controls: &[Control]) {
    let mut times = Vec::with_capacity(EDITS);
    for n in 0..EDITS {
        sleep(EDIT_INTERVAL);
        let share = 100 + n;
        let started = Instant::now();
        append(log, vec![share_edit(0, 1 + n as u64, share)]);
        wait_for_share(controls, 0, share);
        times.push(started.elapsed());
    }
    times.sort();
    println!(
        "spread=single processes={PROCESSES} edits={EDITS} p50_ms={:.1} p99_ms={:.1}",
        to_ms(times[EDITS / 2]),
        to_ms(times[EDITS * 99 / 100])
    );
}

/// Edits of many teams, appended one by one as fast as the log accepts them.
fn measure_burst(log: &LogClient, controls: &[Control]) {
    let first = EDITS as u64 + 1;
    let edits: Vec<Proposal> = (0..BURST)
        .map(|n| {
            let (team, round) = (n % TARGET_SIZE.teams, (n / TARGET_SIZE.teams) as u64);
            let base = if team == 0 { first + round } else { 1 + round };
            share_edit(team, base, 500 + n)
        })
        .collect();
    let last = BURST - 1;
    let started = Instant::now();
    for proposal in edits {
        append(log, vec![proposal]);
    }
    let appended = started.elapsed();
    wait_for_share(controls, last % TARGET_SIZE.teams, 500 + last);
    println!(
        "spread=burst processes={PROCESSES} edits={BURST} appended_ms={:.0} everywhere_ms={:.0}",
        to_ms(appended),
        to_ms(started.elapsed())
    );
}

/// Edit of revision `base` of team `n`'s section, which sets its share.
fn share_edit(n: usize, base: u64, share: usize) -> Proposal {
    let text = team_section(&TARGET_SIZE, n, share);
    edit(&team_name(n), base, &text, &format!("{}-ops", team_name(n)))
}

/// Appends the proposals in one batch, and tries again until the log accepts it.
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
    let started = Instant::now();
    while block_on(log.append("control", &records)).is_err() {
        assert!(started.elapsed() < TIMEOUT, "the log accepts no record");
        sleep(POLL_INTERVAL);
    }
}

/// Waits until the share of team `n` is in force in all control threads.
fn wait_for_share(controls: &[Control], n: usize, share: usize) {
    let id = TeamId::new(&team_name(n));
    let in_force = |control: &Control| {
        let view = control.view();
        let found = view.document.as_ref().and_then(|d| d.teams.get(&id));
        found.is_some_and(|team| team.share as usize == share)
    };
    let started = Instant::now();
    while !controls.iter().all(in_force) {
        assert!(started.elapsed() < TIMEOUT, "not in force everywhere");
        sleep(POLL_INTERVAL);
    }
}

fn to_ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
