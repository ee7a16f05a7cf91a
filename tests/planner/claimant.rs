use std::time::{Duration, Instant};

use amaranthwick::id::{Epoch, MemberId, Offset};
use amaranthwick::ledger::RoleHolder;
use amaranthwick::planner::Claimant;

const LEASE: Duration = Duration::from_secs(3);

fn claimant(id: &str) -> Claimant {
    Claimant::new(MemberId::new(id), LEASE)
}

fn holding(holder: &str, epoch: u64, renewed: u64) -> RoleHolder {
    RoleHolder {
        member: MemberId::new(holder),
        epoch: Epoch(epoch),
        renewed_at: Offset(renewed),
    }
}

#[test]
fn a_free_role_is_claimed_at_most_once_a_third_of_a_lease() {
    let mut claimant = claimant("p1");
    let now = Instant::now();

    let first = claimant.next_claim(None, now).expect("a claim");
    let soon = claimant.next_claim(None, now + LEASE / 4);
    let later = claimant.next_claim(None, now + LEASE / 2);

    assert_eq!((first.epoch, first.last_renewal), (Epoch(1), None));
    assert_eq!(soon, None);
    assert!(later.is_some());
}

#[test]
fn the_holder_renews_after_a_third_of_the_lease() {
    let mut claimant = claimant("p1");
    let now = Instant::now();
    let holding = holding("p1", 4, 30);

    let at_once = claimant.next_claim(Some(&holding), now);
    let renewal = claimant
        .next_claim(Some(&holding), now + LEASE / 3)
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
    let holding = holding("p1", 4, 30);

    let seen = claimant.next_claim(Some(&holding), now);
    let early = claimant.next_claim(Some(&holding), now + LEASE * 99 / 100);
    let takeover = claimant
        .next_claim(Some(&holding), now + LEASE)
        .expect("a takeover");

    assert_eq!((seen, early), (None, None));
    assert_eq!(
        (takeover.epoch, takeover.last_renewal),
        (Epoch(5), Some(Offset(30)))
    );
}

#[test]
fn every_renewal_restarts_the_lease() {
    let mut claimant = claimant("p2");
    let now = Instant::now();
    claimant.next_claim(Some(&holding("p1", 4, 30)), now);
    claimant.next_claim(Some(&holding("p1", 4, 35)), now + LEASE / 2);

    let claim = claimant.next_claim(Some(&holding("p1", 4, 35)), now + LEASE);

    assert_eq!(claim, None);
}

#[test]
fn a_holder_paused_past_its_lease_no_longer_holds_the_role() {
    let mut claimant = claimant("p1");
    let now = Instant::now();
    let holding = holding("p1", 4, 30);
    claimant.next_claim(Some(&holding), now);

    let before = claimant.holds_role(Some(&holding), now + LEASE / 2);
    let after = claimant.holds_role(Some(&holding), now + LEASE);

    assert!(before);
    assert!(!after);
}
