//! The stand-in platform, the daemons on it and the document that the script edits.

use std::net::SocketAddr;

use amaranthwick::dev::fleet_spec;
use amaranthwick::document;
use amaranthwick::id::{DataCentre, Generation, VmId};
use amaranthwick::services::{Pools, PoolsClient};
use amaranthwick_standins::{Fault, Fleet, FleetSpec, SiteName};
use futures_lite::future::block_on;
use indexmap::IndexMap;
use serde_json::{Value, json};

use super::Output;
use super::background::Work;
use crate::args::{Args, ScriptError};
use crate::outcome;
use crate::support::NERETVA;
use crate::support::caller::fetch_state;
use crate::support::daemons::{Daemon, DaemonStarter};
use crate::support::operator::Operator;

const DATA_CENTRE: &str = "ploce";

/// One stand-in platform with its daemons and the current text of the document.
pub struct Deployment {
    pub(super) daemons: IndexMap<String, Daemon>,
    document: String,
    starter: DaemonStarter,
    pub(super) fleet: Fleet,
}

impl Deployment {
    pub fn open() -> Self {
        let parsed = document::parse("neretva.jsonc", NERETVA).expect("valid");
        let spec = FleetSpec {
            list_lag_ms: 50,
            ..fleet_spec(&parsed)
        };
        let fleet = Fleet::open(&spec).expect("stand-ins");
        Self {
            daemons: IndexMap::new(),
            document: NERETVA.to_owned(),
            starter: DaemonStarter::new(&fleet),
            fleet,
        }
    }

    pub fn start(&mut self, args: &mut Args) -> Output {
        let kind = args.positional("kind")?;
        let name = args.positional("name")?;
        let data_centre = args.option("in").unwrap_or(DATA_CENTRE);
        let daemon = match kind {
            "entry" => self.starter.start_entry(name, data_centre),
            "planner" => self.starter.start_planner(name, data_centre),
            _ => return Err(format!("no kind {kind}").into()),
        };
        self.daemons.insert(name.to_owned(), daemon);
        Ok(String::new())
    }

    pub fn kill(&mut self, args: &mut Args) -> Output {
        let name = args.positional("name")?;
        self.daemon(name)?;
        self.daemons.shift_remove(name);
        Ok(String::new())
    }

    pub fn stop(&mut self, args: &mut Args) -> Output {
        let name = args.positional("name")?;
        let daemon = self.daemons.get_mut(name).ok_or("no such daemon")?;
        let code = daemon.process.stop().unwrap_or(-1);
        self.daemons.shift_remove(name);
        Ok(format!("exit={code}"))
    }

    pub fn freeze(&mut self, args: &mut Args) -> Output {
        self.daemon(args.positional("name")?)?.process.freeze();
        Ok(String::new())
    }

    pub fn thaw(&mut self, args: &mut Args) -> Output {
        self.daemon(args.positional("name")?)?.process.thaw();
        Ok(String::new())
    }

    pub fn publish_all(&self) -> String {
        self.operator().publish_all(&self.document);
        String::new()
    }

    pub fn change(&mut self, args: &mut Args) -> Output {
        let from = args.positional("old text")?;
        let to = args.positional("new text")?;
        let found = self.document.matches(from).count();
        if found != 1 {
            return Err(format!("{from:?} is {found} times in the document").into());
        }
        self.document = self.document.replace(from, to);
        Ok(String::new())
    }

    /// Prepares to publish a section of the document as it is now; the returned task publishes it.
    pub fn prepare_publish(&self, args: &mut Args) -> Result<Work, ScriptError> {
        let section = args.positional("section")?.to_owned();
        let by = args.option("by").ok_or("no by=OPERATOR given")?.to_owned();
        let base = args.option("base").map(str::to_owned);
        let operator = self.operator();
        let text = self.document.clone();
        Ok(Box::new(move || {
            let mut extra_args = Vec::new();
            if let Some(base) = &base {
                extra_args.extend(["--base", base]);
            }
            outcome::describe_command(&operator.publish(&by, &section, &text, &extra_args))
        }))
    }

    pub fn fault(&self, args: &mut Args) -> Output {
        let sites = self.fault_sites(args)?;
        let mut fault = json!({ "kind": args.positional("kind of fault")? });
        for field in ["ms", "count"] {
            if let Some(number) = args.number::<u64>(field)? {
                fault[field] = Value::from(number);
            }
        }
        if let Some(answer) = args.option("answer") {
            fault["answer"] = Value::from(answer);
        }
        let fault: Fault = serde_json::from_value(fault)?;
        for site in sites {
            self.fleet.control().set(&site, &fault)?;
        }
        Ok(String::new())
    }

    pub fn clear(&self, args: &mut Args) -> Output {
        for site in self.fault_sites(args)? {
            self.fleet.control().clear(&site)?;
        }
        Ok(String::new())
    }

    pub fn cut(&self, args: &mut Args) -> Output {
        let (a, b) = (args.positional("place")?, args.positional("place")?);
        self.fleet.control().cut(a, b);
        Ok(String::new())
    }

    pub fn heal(&self, args: &mut Args) -> Output {
        let (a, b) = (args.positional("place")?, args.positional("place")?);
        self.fleet.control().heal(a, b);
        Ok(String::new())
    }

    /// Makes the platform drain a VM, as it does for its own maintenance.
    pub fn drain(&self, args: &mut Args) -> Output {
        let vm = VmId::new(args.positional("VM")?);
        let data_centre = DataCentre::new(DATA_CENTRE);
        let pools = PoolsClient::new(self.fleet.pools_address(), &data_centre);
        block_on(pools.drain(&vm, Generation(0)))?;
        Ok(String::new())
    }

    fn operator(&self) -> Operator {
        let admins: Vec<SocketAddr> = self.daemons.values().map(|d| d.admin_address).collect();
        Operator::new(self.fleet.log_address(), &admins)
    }

    pub(super) fn daemon(&self, name: &str) -> Result<&Daemon, ScriptError> {
        let daemon = self.daemons.get(name);
        daemon.ok_or_else(|| format!("no daemon {name}").into())
    }

    /// Parses where a fault applies: a service by its name, one VM, or the executors of a pool in
    /// a data centre.
    fn fault_sites(&self, args: &mut Args) -> Result<Vec<SiteName>, ScriptError> {
        if let Some(vm) = args.option("vm") {
            return Ok(vec![SiteName::Executor(vm.to_owned())]);
        }
        if let Some(pool) = args.option("pool") {
            let data_centre = args.option("in").unwrap_or(DATA_CENTRE);
            return self.executor_sites(pool, data_centre);
        }
        Ok(vec![args.positional("service")?.parse()?])
    }

    /// Lists the executors of a pool in a data centre, as the first daemon sees them.
    fn executor_sites(&self, pool: &str, data_centre: &str) -> Result<Vec<SiteName>, ScriptError> {
        let daemon = self.daemons.values().next().ok_or("no daemon")?;
        let state = fetch_state(daemon.admin_address);
        let targets = state["view"]["targets"][pool].as_array().cloned();
        let targets = targets.ok_or("no such pool")?;
        let own = targets.iter().filter(|t| t["data_centre"] == data_centre);
        let vms = own.filter_map(|target| target["vm"].as_str());
        Ok(vms.map(|vm| SiteName::Executor(vm.to_owned())).collect())
    }
}
