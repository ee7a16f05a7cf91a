//! The operators' configuration of queues, pools and teams.

use std::sync::Arc;

use indexmap::IndexMap;

use super::work::{to_float, to_millis};
use super::{Capacity, JobSpec, QueueTerms};

/// A queue that callers submit jobs to.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Unique name of the queue.
    pub name: Arc<str>,
    /// Host name of requests that are routed to the queue.
    pub host: String,
    /// Path prefix of requests that are routed to the queue.
    pub prefix: String,
    /// Name of the pool that runs the queue's tasks.
    pub pool: Arc<str>,
    /// Priority of the queue's jobs; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of a task after which its job fails; 0 counts as 1.
    pub attempts: u32,
    /// Constant part of the latency objective of jobs, in ms. The objective is this plus
    /// `slack_factor` times the job's critical path.
    pub objective_ms: u64,
    /// Factor on the job's critical path in its latency objective.
    pub slack_factor: f64,
    /// Whether callers without an API key may use the queue.
    pub public: bool,
}

impl Queue {
    /// What the queue grants a job.
    #[must_use]
    pub fn terms_for(&self, spec: &JobSpec) -> QueueTerms {
        let stretched = to_millis(to_float(spec.critical_path_ms()) * self.slack_factor);
        QueueTerms {
            attempts: self.attempts.max(1),
            priority: self.priority,
            objective_ms: self.objective_ms.saturating_add(stretched),
        }
    }
}

/// A pool of targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pool {
    /// Unique name of the pool.
    pub name: Arc<str>,
    /// Whether the pool's targets refuse tasks that do not fit.
    pub admission_check: bool,
    /// Whether the pool's VMs are off and cost nothing.
    pub standby: bool,
}

/// A team of callers and its limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Unique name of the team.
    pub name: Arc<str>,
    /// Share of the team, relative to other teams, when all targets are full.
    pub weight: u64,
    /// Largest sum of what the team's runs may reserve; 0 in a field means no limit.
    pub limit: Capacity,
}

/// One version of the operators' configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    /// Version number; only a higher version replaces this one.
    pub version: u64,
    /// Queues by name.
    pub queues: IndexMap<Arc<str>, Queue>,
    /// Pools by name.
    pub pools: IndexMap<Arc<str>, Pool>,
    /// Teams by name.
    pub teams: IndexMap<Arc<str>, Team>,
    /// Names of teams by API key.
    pub api_keys: IndexMap<String, Arc<str>>,
    /// Largest body of a caller's request, in bytes.
    pub max_body_bytes: usize,
}

impl Policy {
    /// The queue for requests to `path` at `host`: the one with the longest matching prefix;
    /// `None` when no prefix matches.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .values()
            .filter(|queue| queue.host == host && path.starts_with(&queue.prefix))
            .max_by_key(|queue| queue.prefix.len())
    }

    /// Name of the pool that runs the tasks of a job in `queue`: the queue's pool, or
    /// `accepted`, the pool when the job was accepted, if the queue is gone.
    #[must_use]
    pub fn pool_of<'a>(&'a self, queue: &str, accepted: &'a str) -> &'a str {
        self.queues
            .get(queue)
            .map_or(accepted, |queue| queue.pool.as_ref())
    }

    /// What a job's queue grants it, or granted when the job was accepted, if the queue is gone.
    #[must_use]
    pub fn terms_of(&self, spec: &JobSpec) -> QueueTerms {
        let queue = self.queues.get(spec.queue.as_str());
        queue.map_or_else(
            || spec.terms.unwrap_or(QueueTerms::UNKNOWN),
            |queue| queue.terms_for(spec),
        )
    }

    /// Failed runs of a task after which a job fails, by the same rule.
    pub(super) fn attempts_of(&self, spec: &JobSpec) -> u32 {
        let accepted = spec.terms.unwrap_or(QueueTerms::UNKNOWN);
        let queue = self.queues.get(spec.queue.as_str());
        queue.map_or(accepted.attempts, |queue| queue.attempts.max(1))
    }

    /// The pool whose VMs are kept powered off, to which VMs without work are moved; `None` without
    /// one.
    #[must_use]
    pub fn standby_pool(&self) -> Option<&Pool> {
        self.pools.values().find(|pool| pool.standby)
    }
}
