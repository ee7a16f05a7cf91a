//! Description of the stand-ins that a capacity document needs.

use std::net::{IpAddr, Ipv4Addr};

use amaranthwick_standins as standins;
use indexmap::IndexMap;

use crate::document::{Class, Document, TargetKind};

/// Describes stand-ins on loopback with as many VMs of each class as the pools of `document` ask
/// for.
#[must_use]
pub fn fleet_spec(document: &Document) -> standins::FleetSpec {
    let classes = document.fleet.classes.iter();
    let data_centres = document.fleet.data_centres.keys();
    standins::FleetSpec {
        classes: classes
            .map(|(id, class)| (id.to_string(), class_spec(class)))
            .collect(),
        data_centres: data_centres
            .map(|id| (id.to_string(), data_centre_spec(document, id.as_str())))
            .collect(),
        bind_ip: IpAddr::V4(Ipv4Addr::LOCALHOST),
        ..standins::FleetSpec::default()
    }
}

fn class_spec(class: &Class) -> standins::ClassSpec {
    standins::ClassSpec {
        kind: match class.kind {
            TargetKind::Executor => standins::Kind::Executor,
            TargetKind::Worker => standins::Kind::Worker,
        },
        slots: class.slots as usize,
        connections: class.connections as usize,
        cores: class.cores,
        memory_mb: class.memory_mb,
        accelerators: class.accelerators,
        ..standins::ClassSpec::default()
    }
}

fn data_centre_spec(document: &Document, data_centre: &str) -> standins::DataCentreSpec {
    let mut vms = IndexMap::new();
    let pools = document.teams.values().flat_map(|team| team.pools.values());
    for pool in pools {
        let wanted = pool.vms.iter().filter(|(id, _)| id.as_str() == data_centre);
        let wanted: u32 = wanted.map(|(_, count)| count).sum();
        *vms.entry(pool.class.to_string()).or_insert(0) += wanted as usize;
    }
    standins::DataCentreSpec {
        vms,
        ..standins::DataCentreSpec::default()
    }
}
