//! Fair queue: shares, urgency, ageing, ceilings and cancellation.

use indexmap::IndexMap;
use proptest::prelude::*;
use rstest::rstest;

use crate::entry::fair_queue::{ConcurrencyLimits, FairQueue, QueuedRequest, Ticket};
use crate::id::TeamId;

const SECOND_US: u64 = 1_000_000;

/// Running requests and limit of some teams; others have no limit.
#[derive(Default)]
struct Limits(IndexMap<TeamId, (u32, u32)>);

impl ConcurrencyLimits for Limits {
    fn may_start(&self, team: &TeamId) -> bool {
        self.0
            .get(team)
            .is_none_or(|(running, limit)| running < limit)
    }
}

fn waiting(team: &str, urgency: u8, arrived_us: u64) -> QueuedRequest {
    QueuedRequest {
        team: TeamId::new(team),
        urgency,
        arrived_us,
        deadline_us: arrived_us + 3_600 * SECOND_US,
    }
}

fn push(queue: &mut FairQueue, team: &str, urgency: u8, now_us: u64) -> Ticket {
    queue.push(waiting(team, urgency, now_us), now_us)
}

fn pop(queue: &mut FairQueue, now_us: u64) -> Option<(Ticket, String)> {
    let (ticket, entry) = queue.pop(now_us, &Limits::default())?;
    Some((ticket, entry.team.to_string()))
}

/// A team of a simulated pool: its share and how long each of its requests runs.
struct TeamLoad {
    team: &'static str,
    share: u32,
    run_us: u64,
}

/// Simulates a pool whose teams always have requests waiting; returns the slot time that
/// each team used, in us.
fn full_pool(loads: &[TeamLoad], slots: usize, seconds: u64) -> Vec<u64> {
    let mut queue = FairQueue::default();
    let mut running: Vec<(u64, u64, usize)> = Vec::new();
    let mut used = vec![0; loads.len()];
    for load in loads {
        queue.set_share(&TeamId::new(load.team), load.share);
        for _ in 0..4 * slots {
            push(&mut queue, load.team, 3, 0);
        }
    }
    let mut now_us = 0;
    while now_us < seconds * SECOND_US {
        while running.len() < slots {
            let (_, team) = pop(&mut queue, now_us).expect("work waits");
            push(&mut queue, &team, 3, now_us);
            let i = loads.iter().position(|l| l.team == team).expect("known");
            running.push((now_us + loads[i].run_us, now_us, i));
        }
        running.sort_unstable();
        let (end_us, start_us, i) = running.remove(0);
        now_us = end_us;
        used[i] += end_us - start_us;
        queue.record_end(&TeamId::new(loads[i].team), start_us, end_us);
    }
    used
}

#[rstest]
#[case::equal_runs([10_000, 10_000, 10_000])]
#[case::long_runs_of_the_small_team([10_000, 10_000, 200_000])]
#[case::long_runs_of_the_large_team([150_000, 7_000, 3_000])]
fn full_pool_is_split_by_share(#[case] runs: [u64; 3]) {
    let shares = [30, 15, 5];
    let teams = ["a", "b", "c"];
    let loads: Vec<TeamLoad> = (0..3)
        .map(|i| TeamLoad {
            team: teams[i],
            share: shares[i],
            run_us: runs[i],
        })
        .collect();

    let used = full_pool(&loads, 40, 30);

    let total: u64 = used.iter().sum();
    for (used, share) in used.iter().zip(shares) {
        let part = used * 100 / total;
        let wanted = u64::from(share) * 100 / 50;
        assert!(part.abs_diff(wanted) <= 2, "part {part} wanted {wanted}");
    }
}

#[test]
fn idle_team_saves_up_no_claim() {
    let mut queue = FairQueue::default();
    for now_ms in 0..10_000 {
        push(&mut queue, "busy", 3, now_ms * 1_000);
        pop(&mut queue, now_ms * 1_000);
        queue.record_end(&TeamId::new("busy"), now_ms * 1_000, now_ms * 1_000 + 900);
    }
    let now_us = 10 * SECOND_US;
    for _ in 0..40 {
        push(&mut queue, "busy", 3, now_us);
        push(&mut queue, "idle", 3, now_us);
    }

    let starts: Vec<String> = (0..20)
        .filter_map(|_| pop(&mut queue, now_us))
        .map(|(_, team)| team)
        .collect();

    let busy = starts.iter().filter(|team| *team == "busy").count();
    assert!((8..=12).contains(&busy), "{busy} of 20");
}

#[test]
fn burst_is_spread_over_teams_before_any_run_ends() {
    let mut queue = FairQueue::default();
    for i in 0..20 {
        push(&mut queue, "a", 3, i);
        push(&mut queue, "b", 3, 20 + i);
    }

    let starts: Vec<String> = (0..10)
        .filter_map(|_| pop(&mut queue, 40))
        .map(|(_, team)| team)
        .collect();

    assert_eq!(starts.iter().filter(|team| *team == "a").count(), 5);
}

#[test]
fn urgent_goes_first_and_then_the_earlier_deadline() {
    let mut queue = FairQueue::default();
    let slow = push(&mut queue, "a", 7, 0);
    let late = queue.push(
        QueuedRequest {
            deadline_us: 9_000,
            ..waiting("a", 1, 0)
        },
        0,
    );
    let early = queue.push(
        QueuedRequest {
            deadline_us: 5_000,
            ..waiting("a", 1, 0)
        },
        0,
    );

    let order: Vec<Ticket> = (0..3)
        .filter_map(|_| pop(&mut queue, 0))
        .map(|(ticket, _)| ticket)
        .collect();

    assert_eq!(order, [early, late, slow]);
}

#[test]
fn aged_request_starts_despite_endless_urgent_ones() {
    let mut queue = FairQueue::default();
    let long = push(&mut queue, "a", 7, 0);
    let mut started_us = None;

    for now_ms in (0..10_000).step_by(10) {
        push(&mut queue, "a", 0, now_ms * 1_000);
        push(&mut queue, "a", 0, now_ms * 1_000);
        let (ticket, _) = pop(&mut queue, now_ms * 1_000).expect("work");
        queue.record_end(&TeamId::new("a"), now_ms * 1_000, now_ms * 1_000 + 10_000);
        if ticket == long {
            started_us = Some(now_ms * 1_000);
            break;
        }
    }

    let started_us = started_us.expect("started");
    assert!(
        (2 * SECOND_US..3 * SECOND_US).contains(&started_us),
        "{started_us}"
    );
}

#[test]
fn team_at_its_limit_waits_and_saves_up_no_claim() {
    let mut queue = FairQueue::default();
    for _ in 0..60 {
        push(&mut queue, "barred", 3, 0);
        push(&mut queue, "free", 3, 0);
    }
    let barred = TeamId::new("barred");
    let mut limits = Limits(IndexMap::from([(barred.clone(), (1, 1))]));
    let mut now_us = 0;
    for _ in 0..20 {
        let (_, entry) = queue.pop(now_us, &limits).expect("free team");
        assert_eq!(entry.team, TeamId::new("free"));
        queue.record_end(&entry.team, now_us, now_us + 1_000);
        now_us += 1_000;
    }

    limits.0.insert(barred.clone(), (0, 100));
    let starts = (0..20).filter_map(|_| queue.pop(now_us, &limits));
    let starts = starts.filter(|(_, entry)| entry.team == barred).count();

    assert!((8..=12).contains(&starts), "{starts} of 20");
}

#[test]
fn mass_cancellation_leaves_the_rest_in_order() {
    let mut queue = FairQueue::default();
    let tickets: Vec<Ticket> = (0..5_000).map(|i| push(&mut queue, "a", 3, i)).collect();

    for ticket in tickets.iter().filter(|ticket| ticket.0 % 10 != 0) {
        assert!(queue.cancel(*ticket).is_some());
        assert!(queue.cancel(*ticket).is_none());
    }

    let rest: Vec<u64> = std::iter::from_fn(|| pop(&mut queue, 5_000))
        .map(|(ticket, _)| ticket.0)
        .collect();
    let expected: Vec<u64> = (0..5_000).step_by(10).collect();
    assert_eq!(rest, expected);
}

/// A step of a random sequence of operations.
#[derive(Clone, Debug)]
enum Step {
    Push { team: u8, urgency: u8 },
    Pop,
    Cancel(usize),
    End(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..4_u8, 0..8_u8).prop_map(|(team, urgency)| Step::Push { team, urgency }),
        3 => Just(Step::Pop),
        1 => any::<usize>().prop_map(Step::Cancel),
        2 => any::<usize>().prop_map(Step::End),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    /// In any sequence of operations, each request leaves the queue exactly once, a pop
    /// returns a request whenever one waits, and the counts add up.
    #[test]
    fn every_request_leaves_once(steps in prop::collection::vec(step(), 1..200)) {
        let mut queue = FairQueue::default();
        let mut waiting: Vec<Ticket> = Vec::new();
        let mut running: Vec<(TeamId, u64)> = Vec::new();
        for (i, step) in steps.into_iter().enumerate() {
            let now_us = i as u64 * 700;
            match step {
                Step::Push { team, urgency } => {
                    waiting.push(push(&mut queue, &team.to_string(), urgency, now_us));
                }
                Step::Pop => {
                    let popped = queue.pop(now_us, &Limits::default());
                    prop_assert_eq!(popped.is_some(), !waiting.is_empty());
                    if let Some((ticket, entry)) = popped {
                        prop_assert!(waiting.contains(&ticket));
                        waiting.retain(|other| *other != ticket);
                        running.push((entry.team, now_us));
                    }
                }
                Step::Cancel(i) if !waiting.is_empty() => {
                    let ticket = waiting.swap_remove(i % waiting.len());
                    prop_assert!(queue.cancel(ticket).is_some());
                }
                Step::End(i) if !running.is_empty() => {
                    let (team, started_us) = running.swap_remove(i % running.len());
                    queue.record_end(&team, started_us, now_us);
                }
                Step::Cancel(_) | Step::End(_) => {}
            }
            prop_assert_eq!(queue.len(), waiting.len());
            let counted: u64 = queue.teams().map(|(_, _, running)| running).sum();
            prop_assert_eq!(counted, running.len() as u64);
        }
    }
}
