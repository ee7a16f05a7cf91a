//! Parses the settings that every process has.

use std::fs;

use indexmap::IndexMap;

use super::model::{CommonConfig, PlatformAddresses};
use super::resolve_path;
use crate::document::decode::public_key;
use crate::document::hex;
use crate::id::{DataCentre, MemberId};
use crate::jsonc::{Fields, Node};
use crate::secret::FleetSecret;

/// Names of the fields that [`parse_common`] reads.
pub(super) const COMMON_FIELDS: [&str; 9] = [
    "id",
    "data_centre",
    "peer",
    "admin",
    "peers",
    "platform",
    "secret",
    "secret_file",
    "root_key",
];
const PLATFORM_FIELDS: [&str; 4] = ["log", "vms", "pools", "workers"];

pub(super) fn parse_common(file: &str, fields: &Fields<'_>) -> Option<CommonConfig> {
    let id = fields.required("id").and_then(Node::name);
    let data_centre = fields.required("data_centre").and_then(Node::name);
    let peer = fields.required("peer").and_then(Node::address);
    let admin = fields.required("admin").and_then(Node::address);
    let peers = match fields.optional("peers") {
        Some(node) => node.map(Node::address),
        None => Some(IndexMap::new()),
    };
    let platform = fields.required("platform").and_then(parse_platform);
    let secret = parse_secret(file, fields);
    let root_key = fields.required("root_key").and_then(public_key);
    Some(CommonConfig {
        id: MemberId::from(id?),
        data_centre: DataCentre::from(data_centre?),
        peer: peer?,
        admin: admin?,
        peers: peers?,
        platform: platform?,
        secret: secret?,
        root_key: root_key?,
    })
}

fn parse_platform(node: Node<'_>) -> Option<PlatformAddresses> {
    let fields = node.fields(&PLATFORM_FIELDS)?;
    let log = fields.required("log").and_then(Node::address);
    let vms = fields.required("vms").and_then(Node::address);
    let pools = fields.required("pools").and_then(Node::address);
    let workers = fields.required("workers").and_then(Node::address);
    Some(PlatformAddresses {
        log: log?,
        vms: vms?,
        pools: pools?,
        workers: workers?,
    })
}

/// Reads the secret from `secret` in the settings or from the file that `secret_file` names.
fn parse_secret(file: &str, fields: &Fields<'_>) -> Option<FleetSecret> {
    match (fields.optional("secret"), fields.optional("secret_file")) {
        (Some(_), Some(node)) => {
            node.report("give either `secret` or `secret_file`, not both");
            None
        }
        (None, Some(node)) => read_secret_file(file, node),
        (_, None) => fields.required("secret")?.secret().map(FleetSecret::new),
    }
}

fn read_secret_file(file: &str, node: Node<'_>) -> Option<FleetSecret> {
    let path = resolve_path(file, node.text()?);
    let displayed_path = path.display();
    let text = match fs::read_to_string(&path) {
        Ok(text) => text,
        Err(e) => {
            node.report(format!("`secret_file` {displayed_path} can't be read: {e}"));
            return None;
        }
    };
    let Ok(bytes) = hex::decode(text.trim()) else {
        node.report(format!(
            "`secret_file` {displayed_path} must hold 64 lower-case hexadecimal digits"
        ));
        return None;
    };
    Some(FleetSecret::new(bytes))
}
