//! HTTP calls of the VM list.

use std::sync::Arc;
use std::time::Instant;

use http_types::Method;
use serde_json::json;

use super::Machines;
use crate::serve::{Call, Reply, Service};

/// The VM list.
#[derive(Debug)]
pub(crate) struct VmsService {
    machines: Arc<Machines>,
}

impl VmsService {
    /// A list of `machines`.
    pub(crate) const fn new(machines: Arc<Machines>) -> Self {
        Self { machines }
    }
}

impl Service for VmsService {
    async fn answer(&self, call: Call) -> Reply {
        match (call.method(), call.parts().as_slice()) {
            (Method::Get, ["vms"]) => {
                let vms = self.machines.list(Instant::now());
                Reply::json(200, &json!({ "vms": vms }))
            }
            _ => Reply::error(404, "no such call"),
        }
    }
}
