//! Tests of when the operators are told that a maintenance wave is complete.

use amaranthwick::scheduler::{Event, Vm, VmOutcome, VmState, Wave};
use rstest::rstest;

use crate::bare_leader::{Fixture, entry};
use crate::fixtures::POOL;

const VM: &str = "vm-off";

/// A VM without a target.
fn vm() -> Vm {
    Vm {
        name: VM.to_owned(),
        pool: POOL.into(),
        data_centre: "".into(),
        state: VmState::Up,
        labels: Vec::new(),
        capacity: entry("t0").capacity,
        target: None,
    }
}

fn wave() -> Wave {
    Wave {
        number: 1,
        vms: vec![VM.to_owned()],
        limit_ms: 26_000,
        max_down: 1,
    }
}

/// A leader that has ordered the maintenance of the only VM of a wave.
fn leader_with_order() -> Fixture {
    let mut fixture = Fixture::new();
    fixture.handle(Event::VmList(Some(vec![vm()])));
    fixture.handle(Event::WaveRequested(wave()));
    fixture.settle(100);
    assert_eq!(fixture.upkeeps, [VM]);
    fixture
}

/// Guards against a wave that is reported as complete and that the next leader goes on with: the
/// last of its VMs was not stored as done.
#[rstest]
fn a_wave_is_complete_once_its_progress_is_stored(#[values(false, true)] behind_batch: bool) {
    let mut fixture = leader_with_order();
    if behind_batch {
        fixture.poll(450);
    }

    let vm = VM.to_owned();
    let outcome = VmOutcome::NotInWave;
    fixture.now = 460;
    fixture.handle(Event::VmOrderAnswered { vm, outcome });
    fixture.poll(465);
    fixture.poll(600);
    let unstored = fixture.reports.clone();
    if behind_batch {
        fixture.batch_stored();
        fixture.poll(660);
        fixture.poll(720);
    }
    let sent = fixture.reports.clone();
    fixture.batch_stored();
    fixture.poll(780);

    assert_eq!(unstored, [(1, false)]);
    assert_eq!(sent, [(1, false)]);
    assert_eq!(fixture.reports, [(1, false), (1, true)]);
}
