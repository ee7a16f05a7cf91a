//! What the operators allow: queues, pools and teams.

use std::sync::Arc;

use indexmap::IndexMap;

use super::Capacity;

/// A queue that callers hand jobs in to.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Its name.
    pub name: Arc<str>,
    /// Host that callers name.
    pub host: String,
    /// Start of the paths that lead to it.
    pub prefix: String,
    /// Pool that runs its tasks.
    pub pool: Arc<str>,
    /// 0 comes first.
    pub priority: u32,
    /// Runs of a task that may end as failed.
    pub attempts: u32,
    /// Latency objective beyond the longest chain, in ms.
    pub objective_ms: u64,
    /// Factor on the longest chain of the latency objective.
    pub slack_factor: f64,
    /// Serves callers without a key.
    pub public: bool,
}

/// A pool of targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pool {
    /// Its name.
    pub name: Arc<str>,
    /// Its targets refuse what does not fit.
    pub admission_check: bool,
    /// Its VMs are off and cost nothing.
    pub standby: bool,
}

/// A team and its limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Its name.
    pub name: Arc<str>,
    /// Share when all is full.
    pub weight: u64,
    /// Most that it may have running; 0 in a field means no limit.
    pub limit: Capacity,
}

/// One version of what the operators allow.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    /// Version; only a higher one replaces it.
    pub version: u64,
    /// Queues by name.
    pub queues: IndexMap<Arc<str>, Queue>,
    /// Pools by name.
    pub pools: IndexMap<Arc<str>, Pool>,
    /// Teams by name.
    pub teams: IndexMap<Arc<str>, Team>,
    /// Names of teams by key.
    pub api_keys: IndexMap<String, Arc<str>>,
    /// Largest body of a caller's request, in bytes.
    pub max_body_bytes: usize,
}

impl Policy {
    /// The queue with the longest prefix of `path` at `host`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .values()
            .filter(|queue| queue.host == host && path.starts_with(&queue.prefix))
            .max_by_key(|queue| queue.prefix.len())
    }

    /// The pool that runs a job's tasks: that of its queue, or of the time it was accepted.
    #[must_use]
    pub fn pool_of<'a>(&'a self, queue: &str, accepted: &'a str) -> &'a str {
        self.queues
            .get(queue)
            .map_or(accepted, |queue| queue.pool.as_ref())
    }

    /// Pool whose VMs are off.
    #[must_use]
    pub fn standby_pool(&self) -> Option<&Pool> {
        self.pools.values().find(|pool| pool.standby)
    }
}
