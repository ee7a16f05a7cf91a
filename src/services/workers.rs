//! Client of the workers.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::call::{Caller, encode};
use super::status::{check_names, understand};
use super::{PlatformError, TaskReport, TaskSpec, TaskStatus, UsageReport, WorkerReport, Workers};
use crate::http::{ClientLimits, Request};
use crate::id::{DataCentre, VmId};

/// Client of the workers.
#[derive(Clone, Debug)]
pub struct WorkersClient {
    caller: Caller,
}

#[derive(Serialize)]
struct StartCall<'a> {
    #[serde(flatten)]
    spec: &'a TaskSpec,
    #[serde(skip_serializing_if = "Option::is_none")]
    checkpoint: Option<&'a str>,
}

#[derive(Serialize)]
struct LeaseCall {
    lease_ms: u64,
}

#[derive(Serialize)]
struct SpeedCall {
    percent: u32,
}

#[derive(Deserialize)]
struct WorkersReply {
    workers: Vec<WorkerReport>,
}

#[derive(Deserialize)]
struct TasksReply {
    tasks: Vec<TaskReport>,
}

#[derive(Deserialize)]
struct CheckpointReply {
    checkpoint: String,
}

impl WorkersClient {
    /// A client in `data_centre` of the workers' service at `address`.
    #[must_use]
    pub fn new(address: SocketAddr, data_centre: &DataCentre) -> Self {
        Self {
            caller: Caller::new(address, data_centre),
        }
    }

    /// The same client with other bounds on each exchange.
    #[must_use]
    pub fn with_limits(self, limits: ClientLimits) -> Self {
        Self {
            caller: self.caller.with_limits(limits),
        }
    }

    async fn start_from(
        &self,
        call: &str,
        vm: &VmId,
        spec: &TaskSpec,
        checkpoint: Option<&str>,
    ) -> Result<(), PlatformError> {
        check_names(call, &[vm.as_str(), &spec.id])?;
        let path = format!("/workers/{vm}/tasks/{}", spec.id);
        let body = encode(&StartCall { spec, checkpoint });
        let request = Request::new("PUT", &path, body);
        let _: TaskReport = understand(call, self.caller.send(request).await)?;
        Ok(())
    }

    async fn on_task(
        &self,
        call: &str,
        vm: &VmId,
        task: &str,
        change: Change,
    ) -> Result<TaskStatus, PlatformError> {
        check_names(call, &[vm.as_str(), task])?;
        let path = format!("/workers/{vm}/tasks/{task}{}", change.suffix);
        let request = Request::new(change.method, &path, change.body);
        understand(call, self.caller.send(request).await)
    }
}

/// A change of one task as a request.
struct Change {
    method: &'static str,
    suffix: &'static str,
    body: Vec<u8>,
}

impl Workers for WorkersClient {
    async fn start(&self, vm: &VmId, task: &TaskSpec) -> Result<(), PlatformError> {
        self.start_from("start", vm, task, None).await
    }

    async fn resume(
        &self,
        vm: &VmId,
        task: &TaskSpec,
        checkpoint: &str,
    ) -> Result<(), PlatformError> {
        self.start_from("resume", vm, task, Some(checkpoint)).await
    }

    async fn renew(
        &self,
        vm: &VmId,
        task: &str,
        lease_ms: u64,
    ) -> Result<TaskStatus, PlatformError> {
        let change = Change {
            method: "PUT",
            suffix: "/lease",
            body: encode(&LeaseCall { lease_ms }),
        };
        self.on_task("renew", vm, task, change).await
    }

    async fn stop(&self, vm: &VmId, task: &str) -> Result<TaskStatus, PlatformError> {
        let change = Change {
            method: "DELETE",
            suffix: "",
            body: Vec::new(),
        };
        self.on_task("stop", vm, task, change).await
    }

    async fn status(&self, vm: &VmId, task: &str) -> Result<TaskStatus, PlatformError> {
        let change = Change {
            method: "GET",
            suffix: "",
            body: Vec::new(),
        };
        self.on_task("status", vm, task, change).await
    }

    async fn throttle(
        &self,
        vm: &VmId,
        task: &str,
        percent: u32,
    ) -> Result<TaskStatus, PlatformError> {
        let change = Change {
            method: "PUT",
            suffix: "/speed",
            body: encode(&SpeedCall { percent }),
        };
        self.on_task("throttle", vm, task, change).await
    }

    async fn checkpoint(&self, vm: &VmId, task: &str) -> Result<String, PlatformError> {
        const CALL: &str = "checkpoint";
        check_names(CALL, &[vm.as_str(), task])?;
        let path = format!("/workers/{vm}/tasks/{task}/checkpoints");
        let request = Request::new("POST", &path, Vec::new());
        let reply: CheckpointReply = understand(CALL, self.caller.send(request).await)?;
        Ok(reply.checkpoint)
    }

    async fn workers(&self) -> Result<Vec<WorkerReport>, PlatformError> {
        let request = Request::new("GET", "/workers", Vec::new());
        let reply: WorkersReply = understand("workers", self.caller.send(request).await)?;
        Ok(reply.workers)
    }

    async fn tasks(&self, vm: &VmId) -> Result<Vec<TaskReport>, PlatformError> {
        const CALL: &str = "tasks";
        check_names(CALL, &[vm.as_str()])?;
        let request = Request::new("GET", &format!("/workers/{vm}/tasks"), Vec::new());
        let reply: TasksReply = understand(CALL, self.caller.send(request).await)?;
        Ok(reply.tasks)
    }

    async fn usage(&self, vm: &VmId) -> Result<UsageReport, PlatformError> {
        const CALL: &str = "usage";
        check_names(CALL, &[vm.as_str()])?;
        let request = Request::new("GET", &format!("/workers/{vm}/usage"), Vec::new());
        understand(CALL, self.caller.send(request).await)
    }
}
