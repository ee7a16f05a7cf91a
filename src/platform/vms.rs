//! Client of the VM list.

use std::net::SocketAddr;

use serde::Deserialize;

use super::call::Caller;
use super::status::understand;
use super::{PlatformError, Vm, VmList};
use crate::http::{Limits, Request};
use crate::id::DataCentre;

/// Client of the VM list.
#[derive(Clone, Debug)]
pub struct VmsClient {
    caller: Caller,
}

#[derive(Deserialize)]
struct ListReply {
    vms: Vec<Vm>,
}

impl VmsClient {
    /// A client in `data_centre` of the VM list at `address`.
    #[must_use]
    pub fn new(address: SocketAddr, data_centre: &DataCentre) -> Self {
        Self {
            caller: Caller::new(address, data_centre),
        }
    }

    /// The same client with other bounds on each exchange.
    #[must_use]
    pub fn with_limits(self, limits: Limits) -> Self {
        Self {
            caller: self.caller.with_limits(limits),
        }
    }
}

impl VmList for VmsClient {
    async fn list(&self) -> Result<Vec<Vm>, PlatformError> {
        let request = Request::new("GET", "/vms", Vec::new());
        let reply: ListReply = understand("list", self.caller.send(request).await)?;
        Ok(reply.vms)
    }
}
