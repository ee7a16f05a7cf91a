//! HTTP calls that drain, restore and reboot VMs.

use http_types::Method;
use serde_json::json;

use crate::power::Power;
use crate::serve::{Call, Reply, Service};
use crate::vms::Mismatch;

/// The pools' service.
#[derive(Debug)]
pub(crate) struct PoolsService {
    power: Power,
}

impl PoolsService {
    /// A service that changes VMs by `power`.
    pub(crate) const fn new(power: Power) -> Self {
        Self { power }
    }

    fn inspect(&self, vm: &str) -> Reply {
        match self.power.inspect(vm) {
            Some(report) => Reply::json(200, &json!(report)),
            None => Reply::error(404, "no such VM"),
        }
    }

    fn change(
        &self,
        vm: &str,
        call: &Call,
        change: impl FnOnce(&Power, &str, u64) -> Result<u64, Mismatch>,
    ) -> Reply {
        let Some(condition) = call.header("if-match") else {
            return Reply::error(428, "If-Match is missing");
        };
        let Ok(generation) = condition.trim().trim_matches('"').parse() else {
            return Reply::error(400, "If-Match is not a generation");
        };
        match change(&self.power, vm, generation) {
            Ok(next) => changed(200, next),
            Err(Mismatch::Generation(current)) => changed(412, current),
            Err(Mismatch::Missing) => Reply::error(404, "no such VM"),
            Err(Mismatch::Phase(phase)) => Reply::error(409, &format!("the VM is {phase:?}")),
        }
    }
}

impl Service for PoolsService {
    async fn answer(&self, call: Call) -> Reply {
        match (call.method(), call.parts().as_slice()) {
            (Method::Get, ["vms", vm]) => self.inspect(vm),
            (Method::Post, ["vms", vm, "drain"]) => self.change(vm, &call, Power::drain),
            (Method::Post, ["vms", vm, "restore"]) => self.change(vm, &call, Power::restore),
            (Method::Post, ["vms", vm, "reboot"]) => self.change(vm, &call, Power::reboot),
            _ => Reply::error(404, "no such call"),
        }
    }
}

fn changed(status: u16, generation: u64) -> Reply {
    Reply::json(status, &json!({ "generation": generation }))
        .with("ETag", &format!("\"{generation}\""))
}
