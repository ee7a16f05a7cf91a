//! Eviction from a full queue: by share, urgency and age.

use std::net::Ipv4Addr;

use crate::entry::balancer::FailedTargets;
use crate::entry::fair_queue::{QueuedRequest, Ticket};
use crate::entry::scheduler::{Admission, Bounds, Scheduler, Submission};
use crate::id::{DataCentre, QueueId, Rack, TeamId, VmId};
use crate::outcome::Reason;
use crate::view::Target;

const SECOND_US: u64 = 1_000_000;
const HOUR_US: u64 = 3_600 * SECOND_US;

/// A pool of one target, for teams `big` of share 3 and `small` of share 1.
fn scheduler() -> Scheduler {
    let mut scheduler = Scheduler::default();
    let target = Target {
        vm: VmId::new("vm-1"),
        data_centre: DataCentre::new("split"),
        rack: Rack::new("rack-1"),
        address: (Ipv4Addr::LOCALHOST, 1).into(),
        slots: 1,
        connections: 1,
        leaving: false,
    };
    scheduler.update([&target]);
    scheduler.set_share(&TeamId::new("big"), 3);
    scheduler.set_share(&TeamId::new("small"), 1);
    scheduler
}

/// A request for a queue that holds 4 requests and 100 bytes.
fn submission(queue: &str, team: &str, urgency: u8, bytes: u64) -> Submission {
    Submission {
        queue: QueueId::new(queue),
        request: QueuedRequest {
            team: TeamId::new(team),
            urgency,
            arrived_us: 0,
            deadline_us: HOUR_US,
        },
        bytes,
        avoid: FailedTargets::default(),
        bounds: Bounds {
            requests: 4,
            bytes: 100,
        },
    }
}

fn submit(scheduler: &mut Scheduler, team: &str, urgency: u8) -> Result<Admission, Reason> {
    scheduler.submit(submission("count", team, urgency, 10), 0)
}

fn fill(scheduler: &mut Scheduler, team: &str, urgency: u8, times: usize) -> Vec<Ticket> {
    (0..times)
        .map(|_| submit(scheduler, team, urgency).expect("room").ticket)
        .collect()
}

#[test]
fn full_queue_is_split_by_share() {
    let mut scheduler = scheduler();
    fill(&mut scheduler, "small", 3, 4);

    let evictions: Vec<bool> = (0..4)
        .map(|_| submit(&mut scheduler, "big", 3))
        .map(|result| result.is_ok_and(|admitted| admitted.evicted.is_some()))
        .collect();

    assert_eq!(evictions, [true, true, true, false]);
    assert_eq!(scheduler.queue().len(), 4);
}

#[test]
fn team_at_its_share_evicts_no_request_of_others() {
    let mut scheduler = scheduler();
    fill(&mut scheduler, "big", 3, 4);

    let first = submit(&mut scheduler, "small", 0);
    let second = submit(&mut scheduler, "small", 0);

    assert!(first.is_ok_and(|admitted| admitted.evicted.is_some()));
    assert_eq!(second, Err(Reason::QueueFull));
}

#[test]
fn newest_request_is_evicted() {
    let mut scheduler = scheduler();
    fill(&mut scheduler, "small", 6, 3);
    let newest = fill(&mut scheduler, "small", 2, 1);

    let admitted = submit(&mut scheduler, "big", 3).expect("a place");

    assert_eq!(admitted.evicted, Some(newest[0]));
}

#[test]
fn aged_requests_are_not_evicted() {
    let mut scheduler = scheduler();
    fill(&mut scheduler, "small", 7, 4);

    let refused = scheduler.submit(submission("count", "big", 0, 10), 2 * SECOND_US);

    assert_eq!(refused, Err(Reason::QueueFull));
}

#[test]
fn team_evicts_none_of_a_team_with_equal_load() {
    let mut scheduler = scheduler();
    fill(&mut scheduler, "small", 3, 2);
    fill(&mut scheduler, "other", 3, 1);
    fill(&mut scheduler, "big", 3, 1);

    let refused = submit(&mut scheduler, "other", 3);

    assert_eq!(refused, Err(Reason::QueueFull));
}

#[test]
fn urgent_request_evicts_a_less_urgent_one_of_its_team() {
    let mut scheduler = scheduler();
    let tickets = fill(&mut scheduler, "small", 3, 4);

    let urgent = submit(&mut scheduler, "small", 1).expect("a place");
    let same = submit(&mut scheduler, "small", 3);

    assert_eq!(urgent.evicted, Some(tickets[3]));
    assert_eq!(same, Err(Reason::QueueFull));
}

#[test]
fn requests_of_other_queues_are_not_evicted() {
    let mut scheduler = scheduler();
    let own = fill(&mut scheduler, "small", 3, 4);
    let other = scheduler
        .submit(submission("other", "small", 7, 10), 0)
        .expect("room");

    let admitted = submit(&mut scheduler, "big", 3).expect("a place");

    assert_ne!(admitted.evicted, Some(other.ticket));
    assert_eq!(admitted.evicted, Some(own[3]));
}

#[test]
fn nothing_is_evicted_for_a_request_that_would_still_not_fit() {
    let mut scheduler = scheduler();
    fill(&mut scheduler, "small", 3, 4);

    let refused = scheduler.submit(submission("count", "big", 3, 80), 0);

    assert_eq!(refused, Err(Reason::QueueFull));
    assert_eq!(scheduler.queue().len(), 4);
}

#[test]
fn cancelled_request_frees_its_place() {
    let mut scheduler = scheduler();
    let tickets = fill(&mut scheduler, "small", 3, 4);
    assert!(scheduler.cancel(tickets[0]));

    let admitted = submit(&mut scheduler, "small", 3).expect("room");

    assert_eq!(admitted.evicted, None);
}
