//! HTTP API of the VM list.

use std::sync::Arc;
use std::time::Instant;

use http_types::Method;

use super::{Listing, VmRegistry};
use crate::serve::{Call, Reply, Service};

/// The VM list service.
#[derive(Debug)]
pub(crate) struct VmsService {
    registry: Arc<VmRegistry>,
}

impl VmsService {
    /// Creates a service that lists the VMs of `registry`.
    pub(crate) const fn new(registry: Arc<VmRegistry>) -> Self {
        Self { registry }
    }
}

impl Service for VmsService {
    async fn answer(&self, call: Call) -> Reply {
        match (call.method(), call.path_segments().as_slice()) {
            (Method::Get, ["vms"]) => match since(&call) {
                Ok(since) => answer(&call, &self.registry.list(Instant::now(), since)),
                Err(reply) => reply,
            },
            _ => Reply::error(404, "no such call"),
        }
    }
}

fn since(call: &Call) -> Result<Option<u64>, Reply> {
    if call.query("since").is_none() {
        return Ok(None);
    }
    call.query_number("since", 0).map(Some)
}

fn answer(call: &Call, listing: &Listing) -> Reply {
    let tag = format!("\"{}\"", listing.version);
    let reply = if call.header("if-none-match") == Some(&tag) {
        Reply::empty(304)
    } else {
        Reply::json(200, listing)
    };
    reply.with_header("ETag", &tag)
}
