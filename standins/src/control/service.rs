//! HTTP API of the control service.

use anyhow::Result;
use http_types::Method;
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::Control;
use crate::fault::{ActiveFaults, Fault, SiteName};
use crate::serve::{Call, Reply, Service};

/// The control service.
#[derive(Debug)]
pub(crate) struct ControlService {
    control: Control,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FaultCall {
    site: String,
    fault: Fault,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct CutCall {
    from: String,
    to: String,
    #[serde(default)]
    one_way: bool,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct BrokenCall {
    broken: bool,
}

#[derive(Debug, Serialize)]
struct SiteReply {
    site: String,
    faults: ActiveFaults,
}

impl ControlService {
    /// Creates a service that exposes `control` over HTTP.
    pub(crate) const fn new(control: Control) -> Self {
        Self { control }
    }

    fn faults(&self) -> Reply {
        let control = &self.control;
        let services = control.service_sites.iter().map(|(name, site)| SiteReply {
            site: name.clone(),
            faults: site.faults(),
        });
        let executors = control
            .lifecycle
            .executor_sites
            .iter()
            .map(|(vm, site)| SiteReply {
                site: SiteName::Executor(vm.clone()).to_string(),
                faults: site.faults(),
            });
        let all = services.chain(executors);
        let sites: Vec<_> = all
            .filter(|site| site.faults != ActiveFaults::default())
            .collect();
        Reply::json(200, &json!({ "sites": sites, "cuts": control.cuts() }))
    }

    fn set_fault(&self, call: &Call) -> Reply {
        let body: FaultCall = match call.json() {
            Ok(body) => body,
            Err(reply) => return reply,
        };
        done(set_fault(&self.control, &body))
    }

    fn clear_faults(&self, call: &Call) -> Reply {
        match call.query("site") {
            None => done(self.control.clear_all()),
            Some(site) => done(clear_site(&self.control, &site)),
        }
    }

    fn cut(&self, call: &Call) -> Reply {
        match call.json::<CutCall>() {
            Ok(body) if body.one_way => {
                self.control.cut_one_way(&body.from, &body.to);
                done(Ok(()))
            }
            Ok(body) => {
                self.control.cut(&body.from, &body.to);
                done(Ok(()))
            }
            Err(reply) => reply,
        }
    }

    fn heal(&self, call: &Call) -> Reply {
        match (call.query("from"), call.query("to")) {
            (Some(from), Some(to)) => self.control.heal(&from, &to),
            (None, None) => self.control.network.heal_all(),
            _ => return Reply::error(400, "give both from and to, or neither"),
        }
        done(Ok(()))
    }

    fn set_broken(&self, vm: &str, call: &Call) -> Reply {
        match call.json::<BrokenCall>() {
            Ok(body) => done(self.control.set_broken(vm, body.broken)),
            Err(reply) => reply,
        }
    }

    fn set_size(&self, vm: &str, call: &Call) -> Reply {
        match call.json() {
            Ok(size) => done(self.control.set_resources(vm, size)),
            Err(reply) => reply,
        }
    }

    fn read(&self, segments: &[&str]) -> Reply {
        let control = &self.control;
        match segments {
            ["faults"] => self.faults(),
            ["counters"] => Reply::json(200, &control.counters()),
            ["counters", "requests", id] => {
                Reply::json(200, &json!({ "runs": control.run_count(id) }))
            }
            ["vms"] => Reply::json(200, &json!({ "vms": control.vms() })),
            ["tasks"] => Reply::json(200, &json!({ "workers": control.tasks() })),
            _ => Reply::error(404, "no such call"),
        }
    }

    fn write(&self, segments: &[&str], call: &Call) -> Reply {
        let control = &self.control;
        match segments {
            ["faults"] => self.set_fault(call),
            ["cuts"] => self.cut(call),
            ["vms", vm, "fail"] => done(control.fail_vm(vm)),
            ["vms", vm, "repair"] => done(control.repair_vm(vm)),
            ["racks", rack, "fail"] => done(control.fail_rack(rack)),
            ["racks", rack, "repair"] => done(control.repair_rack(rack)),
            ["data-centres", name, "fail"] => done(control.fail_data_centre(name)),
            ["data-centres", name, "repair"] => done(control.repair_data_centre(name)),
            ["workers", vm, "broken"] => self.set_broken(vm, call),
            ["workers", vm, "size"] => self.set_size(vm, call),
            _ => Reply::error(404, "no such call"),
        }
    }

    fn delete(&self, segments: &[&str], call: &Call) -> Reply {
        match segments {
            ["faults"] => self.clear_faults(call),
            ["cuts"] => self.heal(call),
            ["counters"] => {
                self.control.reset_counters();
                done(Ok(()))
            }
            _ => Reply::error(404, "no such call"),
        }
    }
}

impl Service for ControlService {
    async fn answer(&self, call: Call) -> Reply {
        let segments = call.path_segments();
        match call.method() {
            Method::Get => self.read(&segments),
            Method::Post => self.write(&segments, &call),
            Method::Delete => self.delete(&segments, &call),
            _ => Reply::error(405, "no such method"),
        }
    }
}

fn set_fault(control: &Control, body: &FaultCall) -> Result<()> {
    control.set(&body.site.parse()?, &body.fault)
}

fn clear_site(control: &Control, site: &str) -> Result<()> {
    control.clear(&site.parse()?)
}

fn done(result: Result<()>) -> Reply {
    match result {
        Ok(()) => Reply::empty(204),
        Err(e) => Reply::error(404, &format!("{e:#}")),
    }
}
