//! HTTP client of the VM list.

use std::net::SocketAddr;

use indexmap::IndexSet;
use serde::Deserialize;

use super::call::{ServiceClient, decode};
use super::status::check_reply;
use super::{ListVersion, Listing, PlatformError, Vm, VmList};
use crate::http::{ClientLimits, Reply, Request};
use crate::id::{DataCentre, VmId};

const CALL: &str = "list";

/// Time limit for a reply, in ms; a connection that went silent then costs only a few reads.
const REPLY_TIMEOUT_MS: u64 = 5_000;

/// HTTP client of the VM list.
#[derive(Clone, Debug)]
pub struct VmsClient {
    client: ServiceClient,
}

#[derive(Deserialize)]
struct ListReply {
    version: ListVersion,
    since: Option<ListVersion>,
    count: usize,
    vms: Vec<Vm>,
    #[serde(default)]
    removed: Vec<VmId>,
}

impl VmsClient {
    /// Creates a client, in `data_centre`, of the VM list at `address`.
    #[must_use]
    pub fn new(address: SocketAddr, data_centre: &DataCentre) -> Self {
        let limits = ClientLimits {
            response_ms: REPLY_TIMEOUT_MS,
            body_ms: 0,
            ..ClientLimits::default()
        };
        Self {
            client: ServiceClient::new(address, data_centre).with_limits(limits),
        }
    }

    /// Replaces the limits on each exchange.
    #[must_use]
    pub fn with_limits(self, limits: ClientLimits) -> Self {
        Self {
            client: self.client.with_limits(limits),
        }
    }
}

impl VmList for VmsClient {
    async fn list(&self, known: Option<ListVersion>) -> Result<Listing, PlatformError> {
        let reply = check_reply(CALL, self.client.send(list_request(known)).await)?;
        if reply.status == 304 {
            return check_unchanged(&reply, known);
        }
        let reply: ListReply = decode(CALL, &reply).map_err(PlatformError::Unknown)?;
        parse_listing(reply)
    }
}

fn list_request(known: Option<ListVersion>) -> Request {
    let Some(ListVersion(version)) = known else {
        return Request::new("GET", "/vms", Vec::new());
    };
    let mut request = Request::new("GET", &format!("/vms?since={version}"), Vec::new());
    let condition = ("if-none-match".to_owned(), etag(ListVersion(version)));
    request.headers.push(condition);
    request
}

fn etag(version: ListVersion) -> String {
    format!("\"{}\"", version.0)
}

/// Accepts a 304 only if it names the known version; one that names another version does
/// not answer this request.
fn check_unchanged(reply: &Reply, known: Option<ListVersion>) -> Result<Listing, PlatformError> {
    let stated = reply.header("etag");
    if known.is_some() && stated == known.map(etag).as_deref() {
        return Ok(Listing::Unchanged);
    }
    let stated = stated.unwrap_or("no version");
    Err(invalid_list(&format!("not modified since {stated}")))
}

/// Checks that a list is consistent in itself: no VM twice, and all that it counts.
fn parse_listing(reply: ListReply) -> Result<Listing, PlatformError> {
    let ids: IndexSet<&VmId> = reply.vms.iter().map(|vm| &vm.id).collect();
    if ids.len() != reply.vms.len() {
        return Err(invalid_list("a VM is listed twice"));
    }
    let ListReply { version, count, .. } = reply;
    if let Some(since) = reply.since {
        let (vms, removed) = (reply.vms, reply.removed);
        return Ok(Listing::Changes {
            since,
            version,
            count,
            vms,
            removed,
        });
    }
    let vms = reply.vms;
    if vms.len() != count {
        let listed = vms.len();
        return Err(invalid_list(&format!("{listed} of {count} VMs are listed")));
    }
    Ok(Listing::Whole { version, vms })
}

fn invalid_list(cause: &str) -> PlatformError {
    PlatformError::Unknown(format!("{CALL}: {cause}"))
}
