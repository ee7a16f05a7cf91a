//! Client that drains and reboots VMs.

use std::net::SocketAddr;

use serde::Deserialize;

use super::call::Caller;
use super::status::{check_names, understand};
use super::{PlatformError, Pools, VmReport};
use crate::http::{ClientLimits, Request};
use crate::id::{DataCentre, Generation, VmId};

/// Client that drains and reboots VMs.
#[derive(Clone, Debug)]
pub struct PoolsClient {
    caller: Caller,
}

#[derive(Deserialize)]
struct ChangeReply {
    generation: Generation,
}

impl PoolsClient {
    /// A client in `data_centre` of the pools' service at `address`.
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

    async fn change(
        &self,
        call: &str,
        vm: &VmId,
        generation: Generation,
    ) -> Result<Generation, PlatformError> {
        check_names(call, &[vm.as_str()])?;
        let mut request = Request::new("POST", &format!("/vms/{vm}/{call}"), Vec::new());
        let condition = ("if-match".to_owned(), format!("\"{generation}\""));
        request.headers.push(condition);
        let reply: ChangeReply = understand(call, self.caller.send(request).await)?;
        Ok(reply.generation)
    }
}

impl Pools for PoolsClient {
    async fn inspect(&self, vm: &VmId) -> Result<VmReport, PlatformError> {
        const CALL: &str = "inspect";
        check_names(CALL, &[vm.as_str()])?;
        let request = Request::new("GET", &format!("/vms/{vm}"), Vec::new());
        understand(CALL, self.caller.send(request).await)
    }

    async fn drain(&self, vm: &VmId, generation: Generation) -> Result<Generation, PlatformError> {
        self.change("drain", vm, generation).await
    }

    async fn restore(
        &self,
        vm: &VmId,
        generation: Generation,
    ) -> Result<Generation, PlatformError> {
        self.change("restore", vm, generation).await
    }

    async fn reboot(&self, vm: &VmId, generation: Generation) -> Result<Generation, PlatformError> {
        self.change("reboot", vm, generation).await
    }
}
