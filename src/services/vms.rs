//! Client of the VM list.

use std::net::SocketAddr;

use indexmap::IndexSet;
use serde::Deserialize;

use super::call::{Caller, decode};
use super::status::answered;
use super::{ListVersion, Listing, PlatformError, Vm, VmList};
use crate::http::{ClientLimits, Reply, Request};
use crate::id::{DataCentre, VmId};

const CALL: &str = "list";

/// Longest answer, in ms; a connection that went silent costs a few reads, not more.
const ANSWER_MS: u64 = 5_000;

/// Client of the VM list.
#[derive(Clone, Debug)]
pub struct VmsClient {
    caller: Caller,
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
    /// A client in `data_centre` of the VM list at `address`.
    #[must_use]
    pub fn new(address: SocketAddr, data_centre: &DataCentre) -> Self {
        let limits = ClientLimits {
            response_ms: ANSWER_MS,
            body_ms: 0,
            ..ClientLimits::default()
        };
        Self {
            caller: Caller::new(address, data_centre).with_limits(limits),
        }
    }

    /// The same client with other bounds on each exchange.
    #[must_use]
    pub fn with_limits(self, limits: ClientLimits) -> Self {
        Self {
            caller: self.caller.with_limits(limits),
        }
    }
}

impl VmList for VmsClient {
    async fn list(&self, known: Option<ListVersion>) -> Result<Listing, PlatformError> {
        let reply = answered(CALL, self.caller.send(request(known)).await)?;
        if reply.status == 304 {
            return unchanged(&reply, known);
        }
        let reply: ListReply = decode(CALL, &reply).map_err(PlatformError::Unknown)?;
        listing(reply)
    }
}

fn request(known: Option<ListVersion>) -> Request {
    let Some(ListVersion(version)) = known else {
        return Request::new("GET", "/vms", Vec::new());
    };
    let mut request = Request::new("GET", &format!("/vms?since={version}"), Vec::new());
    let condition = ("if-none-match".to_owned(), tag(ListVersion(version)));
    request.headers.push(condition);
    request
}

fn tag(version: ListVersion) -> String {
    format!("\"{}\"", version.0)
}

/// An answer that names another version belongs to another question.
fn unchanged(reply: &Reply, known: Option<ListVersion>) -> Result<Listing, PlatformError> {
    let stated = reply.header("etag");
    if known.is_some() && stated == known.map(tag).as_deref() {
        return Ok(Listing::Unchanged);
    }
    let stated = stated.unwrap_or("no version");
    Err(unreadable(&format!("not modified since {stated}")))
}

fn listing(reply: ListReply) -> Result<Listing, PlatformError> {
    let ids: IndexSet<&VmId> = reply.vms.iter().map(|vm| &vm.id).collect();
    if ids.len() != reply.vms.len() {
        return Err(unreadable("a VM is listed twice"));
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
        return Err(unreadable(&format!("{listed} of {count} VMs are listed")));
    }
    Ok(Listing::Whole { version, vms })
}

fn unreadable(words: &str) -> PlatformError {
    PlatformError::Unknown(format!("{CALL}: {words}"))
}
