//! HTTP API of the pools service: drains, restores and reboots VMs.

use http_types::Method;
use serde_json::json;

use crate::lifecycle::VmLifecycle;
use crate::serve::{Call, Reply, Service};
use crate::vms::ChangeError;

/// The pools service.
#[derive(Debug)]
pub(crate) struct PoolsService {
    lifecycle: VmLifecycle,
}

impl PoolsService {
    /// Creates a service that changes VMs through `lifecycle`.
    pub(crate) const fn new(lifecycle: VmLifecycle) -> Self {
        Self { lifecycle }
    }

    fn inspect(&self, vm: &str) -> Reply {
        match self.lifecycle.inspect(vm) {
            Some(report) => Reply::json(200, &json!(report)),
            None => Reply::error(404, "no such VM"),
        }
    }

    fn change(
        &self,
        vm: &str,
        call: &Call,
        change: impl FnOnce(&VmLifecycle, &str, u64) -> Result<u64, ChangeError>,
    ) -> Reply {
        let Some(condition) = call.header("if-match") else {
            return Reply::error(428, "If-Match is missing");
        };
        let Ok(generation) = condition.trim().trim_matches('"').parse() else {
            return Reply::error(400, "If-Match is not a generation");
        };
        match change(&self.lifecycle, vm, generation) {
            Ok(next) => changed(200, next),
            Err(ChangeError::GenerationMismatch(current)) => changed(412, current),
            Err(ChangeError::UnknownVm) => Reply::error(404, "no such VM"),
            Err(ChangeError::PhaseNotAllowed(phase)) => {
                Reply::error(409, &format!("the VM is {phase:?}"))
            }
        }
    }
}

impl Service for PoolsService {
    async fn answer(&self, call: Call) -> Reply {
        match (call.method(), call.path_segments().as_slice()) {
            (Method::Get, ["vms", vm]) => self.inspect(vm),
            (Method::Post, ["vms", vm, "drain"]) => self.change(vm, &call, VmLifecycle::drain),
            (Method::Post, ["vms", vm, "restore"]) => self.change(vm, &call, VmLifecycle::restore),
            (Method::Post, ["vms", vm, "reboot"]) => self.change(vm, &call, VmLifecycle::reboot),
            _ => Reply::error(404, "no such call"),
        }
    }
}

fn changed(status: u16, generation: u64) -> Reply {
    Reply::json(status, &json!({ "generation": generation }))
        .with_header("ETag", &format!("\"{generation}\""))
}
