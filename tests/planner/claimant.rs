use std::time::{Duration, Instant};

use amaranthwick::id::{Epoch, MemberId, Offset};
use amaranthwick::ledger::RoleHolder;
use amaranthwick::planner::Claimant;

const LEASE: Duration = Duration::from_secs(3);

fn claimant(id: &str) -> Claimant {
    Claimant::new(MemberId::new(id), LEASE)
}

fn held(holder: &str, epoch: u64, renewed: u64) -> RoleHolder {
    RoleHolder {
        member: MemberId::new(holder),
        epoch: Epoch(epoch),
        renewed_at: Offset(renewed),
    }
}

#[test]
fn a_free_role_is_claimed_once_in_a_while() {
    let mut claimant = claimant("p1");
    let now = Instant::now();

    let first = claimant.step(None, now).expect("a claim");
    let soon = claimant.step(None, now + LEASE / 4);
    let later = claimant.step(None, now + LEASE / 2);

    assert_eq!((first.epoch, first.last_renewal), (Epoch(1), None));
    assert_eq!(soon, None);
    assert!(later.is_some());
}

#[test]
fn the_holder_renews_after_a_third_of_the_lease() {
    let mut claimant = claimant("p1");
    let now = Instant::now();
    let held = held("p1", 4, 30);

    let at_once = claimant.step(Some(&held), now);
    let renewal = claimant
        .step(Some(&held), now + LEASE / 3)
        .expect("a renewal");

    assert_eq!(at_once, None);
    assert_eq!(
        (renewal.epoch, renewal.last_renewal),
        (Epoch(4), Some(Offset(30)))
    );
}

#[test]
fn a_silent_holder_is_replaced_after_the_lease_and_not_before() {
    let mut claimant = claimant("p2");
    let now = Instant::now();
    let held = held("p1", 4, 30);

    let seen = claimant.step(Some(&held), now);
    let early = claimant.step(Some(&held), now + LEASE * 99 / 100);
    let takeover = claimant.step(Some(&held), now + LEASE).expect("a takeover");

    assert_eq!((seen, early), (None, None));
    assert_eq!(
        (takeover.epoch, takeover.last_renewal),
        (Epoch(5), Some(Offset(30)))
    );
}

#[test]
fn every_renewal_starts_the_wait_anew() {
    let mut claimant = claimant("p2");
    let now = Instant::now();
    claimant.step(Some(&held("p1", 4, 30)), now);
    claimant.step(Some(&held("p1", 4, 35)), now + LEASE / 2);

    let step = claimant.step(Some(&held("p1", 4, 35)), now + LEASE);

    assert_eq!(step, None);
}

#[test]
fn a_holder_that_was_paused_past_its_lease_does_not_act() {
    let mut claimant = claimant("p1");
    let now = Instant::now();
    let held = held("p1", 4, 30);
    claimant.step(Some(&held), now);

    let before = claimant.holds(Some(&held), now + LEASE / 2);
    let after = claimant.holds(Some(&held), now + LEASE);

    assert!(before);
    assert!(!after);
}
