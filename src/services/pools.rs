//! HTTP client of the pools service, which drains and reboots VMs.

use std::net::SocketAddr;

use serde::Deserialize;

use super::call::ServiceClient;
use super::status::{check_path_names, parse_reply};
use super::{PlatformError, Pools, VmReport};
use crate::http::{ClientLimits, Request};
use crate::id::{DataCentre, Generation, VmId};

/// HTTP client of the pools service, which drains and reboots VMs.
#[derive(Clone, Debug)]
pub struct PoolsClient {
    client: ServiceClient,
}

#[derive(Deserialize)]
struct ChangeReply {
    generation: Generation,
}

impl PoolsClient {
    /// Creates a client, in `data_centre`, of the pools service at `address`.
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

    async fn change_vm(
        &self,
        call: &str,
        vm: &VmId,
        generation: Generation,
    ) -> Result<Generation, PlatformError> {
        check_path_names(call, &[vm.as_str()])?;
        let mut request = Request::new("POST", &format!("/vms/{vm}/{call}"), Vec::new());
        let condition = ("if-match".to_owned(), format!("\"{generation}\""));
        request.headers.push(condition);
        let reply: ChangeReply = parse_reply(call, self.client.send(request).await)?;
        Ok(reply.generation)
    }
}

impl Pools for PoolsClient {
    async fn inspect(&self, vm: &VmId) -> Result<VmReport, PlatformError> {
        const CALL: &str = "inspect";
        check_path_names(CALL, &[vm.as_str()])?;
        let request = Request::new("GET", &format!("/vms/{vm}"), Vec::new());
        parse_reply(CALL, self.client.send(request).await)
    }

    async fn drain(&self, vm: &VmId, generation: Generation) -> Result<Generation, PlatformError> {
        self.change_vm("drain", vm, generation).await
    }

    async fn restore(
        &self,
        vm: &VmId,
        generation: Generation,
    ) -> Result<Generation, PlatformError> {
        self.change_vm("restore", vm, generation).await
    }

    async fn reboot(&self, vm: &VmId, generation: Generation) -> Result<Generation, PlatformError> {
        self.change_vm("reboot", vm, generation).await
    }
}
