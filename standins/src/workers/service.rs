//! HTTP API of the workers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http_types::Method;
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::registry::WorkerRegistry;
use super::task::{Task, TaskSpec, TaskState};
use super::worker::{Resources, StartOutcome, StartRefused, Worker};
use crate::fault::{Network, PLATFORM};
use crate::serve::{Call, Reply, Service};

/// The workers service.
#[derive(Debug)]
pub(crate) struct WorkersService {
    workers: Arc<WorkerRegistry>,
    network: Arc<Network>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct LeaseCall {
    lease_ms: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SpeedCall {
    percent: u32,
}

#[derive(Debug, Serialize)]
struct WorkerReply<'a> {
    vm: &'a str,
    off: bool,
    size: Resources,
    free: Resources,
}

impl WorkersService {
    /// Creates a service for `workers`, which the platform reaches over `network`.
    pub(crate) const fn new(workers: Arc<WorkerRegistry>, network: Arc<Network>) -> Self {
        Self { workers, network }
    }

    fn list(&self) -> Reply {
        let now = Instant::now();
        let mut state = self.workers.lock();
        for worker in state.workers.values_mut() {
            worker.advance_to(now);
        }
        let workers: Vec<_> = state
            .workers
            .iter()
            .map(|(vm, worker)| WorkerReply {
                vm,
                off: worker.is_off(),
                size: worker.resources(),
                free: worker.free(),
            })
            .collect();
        Reply::json(200, &json!({ "workers": workers }))
    }

    fn start(&self, vm: &str, id: &str, call: &Call) -> Reply {
        let spec: TaskSpec = match call.json() {
            Ok(spec) => spec,
            Err(reply) => return reply,
        };
        if spec.id != id {
            return Reply::error(400, "the id differs from the path");
        }
        let mut state = self.workers.lock();
        let progress = match &spec.checkpoint {
            None => Duration::ZERO,
            Some(checkpoint) => match state.checkpoints.get(checkpoint) {
                Some(progress) => *progress,
                None => return Reply::error(404, "no such checkpoint"),
            },
        };
        let Some(worker) = state.workers.get_mut(vm) else {
            return Reply::error(404, "no such worker");
        };
        match worker.start(&spec, progress, Instant::now()) {
            Ok(StartOutcome::New(status)) => Reply::json(201, &status),
            Ok(StartOutcome::Known(status)) => Reply::json(200, &status),
            Err(StartRefused::Off) => Reply::error(503, "worker is down"),
            Err(StartRefused::Full(free)) => Reply::error(
                409,
                &format!(
                    "no room: {} cores, {} MB and {} accelerators are free",
                    free.cores, free.memory_mb, free.accelerators
                ),
            ),
        }
    }

    fn renew(&self, vm: &str, id: &str, call: &Call) -> Reply {
        match call.json::<LeaseCall>() {
            Ok(body) => self.with_task(vm, id, |task, now| task.renew(body.lease_ms, now)),
            Err(reply) => reply,
        }
    }

    fn set_speed(&self, vm: &str, id: &str, call: &Call) -> Reply {
        match call.json::<SpeedCall>() {
            Ok(body) => self.with_task(vm, id, |task, _| task.set_speed(body.percent)),
            Err(reply) => reply,
        }
    }

    fn stop(&self, vm: &str, id: &str) -> Reply {
        self.with_task(vm, id, |task, now| {
            task.stop(TaskState::Stopped, "stopped on request", now);
        })
    }

    fn checkpoint(&self, vm: &str, id: &str) -> Reply {
        let now = Instant::now();
        let mut state = self.workers.lock();
        let Some(task) = state
            .workers
            .get_mut(vm)
            .and_then(|worker| worker.task(id, now))
        else {
            return Reply::error(404, "no such task");
        };
        if !task.is_running() {
            return Reply::error(409, "the task has ended");
        }
        let progress = task.progress();
        let checkpoint = format!("{id}@{}", progress.as_millis());
        state.checkpoints.insert(checkpoint.clone(), progress);
        Reply::json(200, &json!({ "checkpoint": checkpoint }))
    }

    fn tasks(&self, vm: &str) -> Reply {
        self.with_worker(vm, |worker| {
            Reply::json(200, &json!({ "tasks": worker.statuses() }))
        })
    }

    fn usage(&self, vm: &str) -> Reply {
        let lag = self.workers.usage_lag();
        self.with_worker(vm, |worker| {
            let moment = Instant::now().checked_sub(lag);
            let tasks = moment
                .map(|moment| worker.usage(moment))
                .unwrap_or_default();
            let age_ms = u64::try_from(lag.as_millis()).unwrap_or(u64::MAX);
            Reply::json(200, &json!({ "age_ms": age_ms, "tasks": tasks }))
        })
    }

    fn with_worker(&self, vm: &str, read: impl FnOnce(&Worker) -> Reply) -> Reply {
        let mut state = self.workers.lock();
        let Some(worker) = state.workers.get_mut(vm) else {
            return Reply::error(404, "no such worker");
        };
        worker.advance_to(Instant::now());
        if worker.is_off() {
            return Reply::error(503, "worker is down");
        }
        read(worker)
    }

    fn with_task(&self, vm: &str, id: &str, change: impl FnOnce(&mut Task, Instant)) -> Reply {
        let now = Instant::now();
        let mut state = self.workers.lock();
        let Some(worker) = state.workers.get_mut(vm) else {
            return Reply::error(404, "no such worker");
        };
        worker.advance_to(now);
        if worker.is_off() {
            return Reply::error(503, "worker is down");
        }
        let Some(task) = worker.task(id, now) else {
            return Reply::error(404, "no such task");
        };
        change(task, now);
        Reply::json(200, &task.status())
    }

    /// Waits until no cut blocks the platform from the worker's data centre.
    async fn wait_until_reachable(&self, vm: &str) {
        let data_centre = {
            let state = self.workers.lock();
            state
                .workers
                .get(vm)
                .map(|worker| worker.data_centre().to_owned())
        };
        if let Some(data_centre) = data_centre {
            self.network
                .wait_until_connected(PLATFORM, &data_centre)
                .await;
        }
    }
}

impl Service for WorkersService {
    async fn answer(&self, call: Call) -> Reply {
        let method = call.method();
        let segments = call.path_segments();
        if let ["workers", vm, ..] = segments.as_slice() {
            self.wait_until_reachable(vm).await;
        }
        match (method, segments.as_slice()) {
            (Method::Get, ["workers"]) => self.list(),
            (Method::Get, ["workers", vm, "tasks"]) => self.tasks(vm),
            (Method::Get, ["workers", vm, "usage"]) => self.usage(vm),
            (Method::Get, ["workers", vm, "tasks", id]) => self.with_task(vm, id, |_, _| {}),
            (Method::Put, ["workers", vm, "tasks", id]) => self.start(vm, id, &call),
            (Method::Delete, ["workers", vm, "tasks", id]) => self.stop(vm, id),
            (Method::Put, ["workers", vm, "tasks", id, "lease"]) => self.renew(vm, id, &call),
            (Method::Put, ["workers", vm, "tasks", id, "speed"]) => self.set_speed(vm, id, &call),
            (Method::Post, ["workers", vm, "tasks", id, "checkpoints"]) => self.checkpoint(vm, id),
            _ => Reply::error(404, "no such call"),
        }
    }
}
