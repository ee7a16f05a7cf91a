//! Tests of the summary of the waiting work, and of the capacity that a pool can get.

use rstest::rstest;

use crate::scheduler::Capacity;
use crate::scheduler::backlog::{Backlog, PoolBacklog};
use crate::scheduler::room::{PoolRequest, attainable};
use crate::scheduler::work::Work;

fn pool_capacity() -> Capacity {
    Capacity {
        cpu: 100_000,
        ..Capacity::default()
    }
}

/// Work that takes the whole pool this long.
fn work(ms: u64) -> Work {
    Work::of(&pool_capacity(), 1, ms)
}

/// Guards against refusals because another pool holds the VMs at the moment: a pool can get what
/// the others leave, at least an equal part, and all that pools of a lower priority have.
#[rstest]
#[case::others_idle(&[(1, 0.0), (1, 0.0), (1, 0.0)], 1.0)]
#[case::one_small(&[(1, 0.9), (1, 0.2), (1, 0.0)], 0.8)]
#[case::one_large(&[(1, 0.2), (1, 5.0), (1, 0.0)], 0.5)]
#[case::lower_priority(&[(1, 0.2), (2, 5.0), (2, 1.0)], 1.0)]
#[case::all_large(&[(1, 9.0), (1, 9.0), (0, 9.0)], 1.0 / 3.0)]
fn a_pool_can_get_a_fair_part_of_the_fleet(#[case] pools: &[(u32, f64)], #[case] expected: f64) {
    let request = |(priority, demand): &(u32, f64)| PoolRequest {
        priority: *priority,
        demand: *demand,
    };
    let requests: Vec<PoolRequest> = pools.iter().map(request).collect();

    let part = attainable(&requests, 0);

    assert!((part - expected).abs() < 1e-9, "{part}");
}

/// A summary of four pools in which 140 teams have work, ten of them `heavy` ms and the others
/// `light` ms on the tenth of the pool that each can expect.
fn fleet_summary(heavy: u64, light: u64) -> Backlog {
    let mut summary = Backlog::default();
    for pool in 0..4 {
        let mut backlog = PoolBacklog {
            now: pool_capacity(),
            later: pool_capacity(),
            ..PoolBacklog::default()
        };
        for team in 0..140 {
            let wait_ms = if team % 14 == 0 { heavy } else { light };
            let team = format!("team-{team}");
            backlog.add(pool % 2, &work(wait_ms / 10), Some(&team), false);
        }
        backlog.apply_shares(|_| false, 1.0, |_| 0.1);
        summary.pools.insert(format!("pool-{pool}"), backlog);
    }
    summary
}

/// Guards against summaries that cost more than the 2 KB/s which the control plane may use for each
/// node: each process gets one a second at most, and only teams with much work are named.
#[test]
fn a_summary_for_peers_is_small() {
    let busy = fleet_summary(8_000, 400).for_peers(50);
    let calm = Backlog::default().for_peers(50);

    let bytes = |summary: &Backlog| rmp_serde::to_vec_named(summary).unwrap().len();
    let all_busy = fleet_summary(8_000, 8_000).for_peers(50);
    println!(
        "busy: {}, all busy: {}, calm: {} bytes",
        bytes(&busy),
        bytes(&all_busy),
        bytes(&calm)
    );
    assert!(bytes(&busy) < 2_000);
    assert!(bytes(&all_busy) < 2_000);
    assert!(bytes(&calm) < 50);
    assert_eq!(busy.pools["pool-0"].levels[0].teams.len(), 10);
    assert_eq!(busy.pools["pool-0"].levels[0].work, {
        let mut sum = Work::default();
        (0..10).for_each(|_| sum.add(&work(800)));
        (0..130).for_each(|_| sum.add(&work(40)));
        sum
    });
}
