//! Targets, policy and settings of the measured leader.

use std::sync::Arc;

use amaranthwick::scheduler::{
    Capacity, Holder, LeaderSettings, Policy, Pool, Queue, TargetEntry, TargetId, TargetState, Team,
};

use super::queue_name;

/// Time of day at virtual time 0, in ms since 1970.
pub(crate) const MIDNIGHT_MS: u64 = 1_700_000_000_000;

pub(crate) const TEAMS: usize = 20;

pub(crate) fn pool_name(pool: usize) -> String {
    format!("pool-{pool}")
}

pub(crate) fn target_entry(pool: usize, index: usize) -> TargetEntry {
    let name = format!("target-{pool}-{index}");
    TargetEntry {
        id: TargetId(Arc::from(name.as_str())),
        born: 1,
        address: "127.0.0.1:9".parse().expect("an address"),
        pool: Arc::from(pool_name(pool)),
        vm: Arc::from(format!("vm-{name}")),
        labels: vec!["kind".to_owned(), format!("rack-{}", index / 16)],
        capacity: Capacity {
            cpu: 32_000,
            mem_mb: 131_072,
            gpu: 0,
        },
        state: TargetState::Ready,
        data_centre: Arc::from("z1"),
        cold_left_ms: 0,
    }
}

/// A queue and a pool for each of `pools`, a standby pool, and teams of which half have a limit.
pub(crate) fn policy(pools: usize) -> Arc<Policy> {
    let queue = |pool: usize| {
        let name: Arc<str> = Arc::from(queue_name(pool));
        let queue = Queue {
            name: Arc::clone(&name),
            host: "farm.example".to_owned(),
            prefix: format!("/{name}/"),
            pool: Arc::from(pool_name(pool)),
            priority: 0,
            attempts: 2,
            objective_ms: 600,
            slack_factor: 1.6,
            public: false,
        };
        (name, queue)
    };
    let pool = |name: &str, standby| {
        let name: Arc<str> = Arc::from(name);
        let pool = Pool {
            name: Arc::clone(&name),
            admission_check: true,
            standby,
        };
        (name, pool)
    };
    let team = |i: usize| {
        let name: Arc<str> = Arc::from(format!("team-{i}"));
        let limit = Capacity {
            cpu: if i.is_multiple_of(2) { 2_000_000 } else { 0 },
            ..Capacity::default()
        };
        let team = Team {
            name: Arc::clone(&name),
            weight: 1,
            limit,
        };
        (name, team)
    };
    Arc::new(Policy {
        version: 1,
        queues: (0..pools).map(queue).collect(),
        pools: (0..pools)
            .map(|i| pool(&pool_name(i), false))
            .chain([pool("standby", true)])
            .collect(),
        teams: (0..TEAMS).map(team).collect(),
        api_keys: std::iter::empty::<(String, Arc<str>)>().collect(),
        max_body_bytes: 262_144,
    })
}

pub(crate) fn leader_settings() -> LeaderSettings {
    LeaderSettings {
        holder: Holder {
            member: "node-1".to_owned(),
            incarnation: 1,
            epoch: 1,
            released: false,
            batch: 0,
        },
        lease_ms: 4_000,
        max_lease_ms: 6_000,
        earlier_extend_ms: 0,
        predecessors: Vec::new(),
        earlier_silence_ms: None,
        step_down_after_ms: 7_000,
        vm_order_delay_ms: 0,
        stop_timeout_ms: 400,
        job_retention_ms: 120_000,
    }
}
