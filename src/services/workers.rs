//! HTTP client of the workers service.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::call::{ServiceClient, encode};
use super::status::{check_path_names, parse_reply};
use super::{PlatformError, TaskReport, TaskSpec, TaskStatus, UsageReport, WorkerReport, Workers};
use crate::http::{ClientLimits, Request};
use crate::id::{DataCentre, VmId};

/// HTTP client of the workers service.
#[derive(Clone, Debug)]
pub struct WorkersClient {
    client: ServiceClient,
}

#[derive(Serialize)]
struct StartBody<'a> {
    #[serde(flatten)]
    spec: &'a TaskSpec,
    #[serde(skip_serializing_if = "Option::is_none")]
    checkpoint: Option<&'a str>,
}

#[derive(Serialize)]
struct LeaseBody {
    lease_ms: u64,
}

#[derive(Serialize)]
struct SpeedBody {
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
    /// Creates a client, in `data_centre`, of the workers service at `address`.
    #[must_use]
    pub fn new(address: SocketAddr, data_centre: &DataCentre) -> Self {
        Self {
            client: ServiceClient::new(address, data_centre),
        }
    }

    /// Replaces the limits on each exchange.
    #[must_use]
    pub fn with_limits(self, limits: ClientLimits) -> Self {
        Self {
            client: self.client.with_limits(limits),
        }
    }

    async fn start_from(
        &self,
        call: &str,
        vm: &VmId,
        spec: &TaskSpec,
        checkpoint: Option<&str>,
    ) -> Result<(), PlatformError> {
        check_path_names(call, &[vm.as_str(), &spec.id])?;
        let path = format!("/workers/{vm}/tasks/{}", spec.id);
        let body = encode(&StartBody { spec, checkpoint });
        let request = Request::new("PUT", &path, body);
        let _: TaskReport = parse_reply(call, self.client.send(request).await)?;
        Ok(())
    }

    async fn request_task(
        &self,
        call: &str,
        vm: &VmId,
        task: &str,
        request: TaskRequest,
    ) -> Result<TaskStatus, PlatformError> {
        check_path_names(call, &[vm.as_str(), task])?;
        let path = format!("/workers/{vm}/tasks/{task}{}", request.suffix);
        let request = Request::new(request.method, &path, request.body);
        parse_reply(call, self.client.send(request).await)
    }
}

/// HTTP request about one task.
struct TaskRequest {
    method: &'static str,
    /// Part of the path after the task id.
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
        let request = TaskRequest {
            method: "PUT",
            suffix: "/lease",
            body: encode(&LeaseBody { lease_ms }),
        };
        self.request_task("renew", vm, task, request).await
    }

    async fn stop(&self, vm: &VmId, task: &str) -> Result<TaskStatus, PlatformError> {
        let request = TaskRequest {
            method: "DELETE",
            suffix: "",
            body: Vec::new(),
        };
        self.request_task("stop", vm, task, request).await
    }

    async fn status(&self, vm: &VmId, task: &str) -> Result<TaskStatus, PlatformError> {
        let request = TaskRequest {
            method: "GET",
            suffix: "",
            body: Vec::new(),
        };
        self.request_task("status", vm, task, request).await
    }

    async fn throttle(
        &self,
        vm: &VmId,
        task: &str,
        percent: u32,
    ) -> Result<TaskStatus, PlatformError> {
        let request = TaskRequest {
            method: "PUT",
            suffix: "/speed",
            body: encode(&SpeedBody { percent }),
        };
        self.request_task("throttle", vm, task, request).await
    }

    async fn checkpoint(&self, vm: &VmId, task: &str) -> Result<String, PlatformError> {
        const CALL: &str = "checkpoint";
        check_path_names(CALL, &[vm.as_str(), task])?;
        let path = format!("/workers/{vm}/tasks/{task}/checkpoints");
        let request = Request::new("POST", &path, Vec::new());
        let reply: CheckpointReply = parse_reply(CALL, self.client.send(request).await)?;
        Ok(reply.checkpoint)
    }

    async fn workers(&self) -> Result<Vec<WorkerReport>, PlatformError> {
        let request = Request::new("GET", "/workers", Vec::new());
        let reply: WorkersReply = parse_reply("workers", self.client.send(request).await)?;
        Ok(reply.workers)
    }

    async fn tasks(&self, vm: &VmId) -> Result<Vec<TaskReport>, PlatformError> {
        const CALL: &str = "tasks";
        check_path_names(CALL, &[vm.as_str()])?;
        let request = Request::new("GET", &format!("/workers/{vm}/tasks"), Vec::new());
        let reply: TasksReply = parse_reply(CALL, self.client.send(request).await)?;
        Ok(reply.tasks)
    }

    async fn usage(&self, vm: &VmId) -> Result<UsageReport, PlatformError> {
        const CALL: &str = "usage";
        check_path_names(CALL, &[vm.as_str()])?;
        let request = Request::new("GET", &format!("/workers/{vm}/usage"), Vec::new());
        parse_reply(CALL, self.client.send(request).await)
    }
}
