//! Reads the state of the daemons and the platform, and waits for changes in it.

use std::thread;
use std::time::Duration;

use amaranthwick::control::CONTROL_STREAM;
use serde_json::Value;

use super::Output;
use super::deployment::Deployment;
use crate::args::Args;
use crate::support::caller::fetch_state;
use crate::support::daemons::Daemon;
use crate::support::wait::wait_until;

/// Pool whose targets show an entry that the planner has placed VMs.
const READY_POOL: &str = "headcount";

impl Deployment {
    /// Waits until every entry sees all entries alive and targets in [`READY_POOL`].
    pub fn wait_ready(&self) -> String {
        let entries = self.daemons.values().filter(|d| d.caller_address.is_some());
        let entries: Vec<_> = entries.collect();
        for entry in &entries {
            wait_until("a serving entry", || is_serving(entry, entries.len()));
        }
        String::new()
    }

    /// Waits until at least so many records are appended after this call.
    pub fn wait_appended(&self, args: &mut Args) -> Output {
        let wanted: u64 = args.positional("number")?.parse()?;
        let head = self.fleet.control().head(CONTROL_STREAM);
        wait_until("appends", || {
            self.fleet.control().head(CONTROL_STREAM) >= head + wanted
        });
        Ok(String::new())
    }

    /// Names the entries, except frozen ones, that have dispatched requests of a pool themselves.
    pub fn owners(&self, args: &mut Args) -> Output {
        let pool = args.positional("pool")?;
        let runs_pool = |daemon: &&Daemon| {
            let pools = &fetch_state(daemon.admin_address)["daemon"]["owner"]["pools"];
            let mut pools = pools.as_array().into_iter().flatten();
            pools.any(|owned| owned["pool"] == pool)
        };
        let entries = self.daemons.values().filter(|d| d.caller_address.is_some());
        let running = entries.filter(|daemon| !daemon.process.is_frozen());
        let owners = running.filter(runs_pool).map(|daemon| daemon.id.as_str());
        Ok(owners.collect::<Vec<_>>().join(" "))
    }

    /// Counts the requests that executors have run: all, those of a team, or those on one VM.
    /// With `until=N` waits until there are at least N.
    pub fn run_count(&self, args: &mut Args) -> Output {
        let (team, vm) = (args.option("team"), args.option("vm"));
        let count = || {
            let counters = self.fleet.control().counters();
            match (team, vm) {
                (Some(team), _) => counters.teams.get(team).map_or(0, |team| team.runs),
                (None, Some(vm)) => counters.executors.get(vm).map_or(0, |vm| vm.runs),
                (None, None) => counters.runs,
            }
        };
        if let Some(wanted) = args.number::<u64>("until")? {
            wait_until("runs", || count() >= wanted);
        }
        Ok(format!("runs={}", count()))
    }

    /// Waits until an entry considers another entry failed.
    pub fn wait_member_failed(&self, args: &mut Args) -> Output {
        let entry = self.daemon(args.positional("entry")?)?;
        let other = args.positional("other entry")?;
        let is_failed = |member: &Value| member["id"] == other && member["alive"] == false;
        wait_until("a lost member", || {
            let members = &fetch_state(entry.admin_address)["view"]["members"];
            members
                .as_array()
                .is_some_and(|members| members.iter().any(is_failed))
        });
        Ok(String::new())
    }

    /// Waits until an entry knows that a VM is leaving.
    pub fn wait_target_leaving(&self, args: &mut Args) -> Output {
        let entry = self.daemon(args.positional("entry")?)?;
        let vm = args.positional("VM")?;
        let is_leaving = |target: &Value| target["vm"] == vm && target["leaving"] == true;
        wait_until("a leaving target", || {
            let targets = &fetch_state(entry.admin_address)["view"]["targets"];
            let pools = targets
                .as_object()
                .into_iter()
                .flat_map(|pools| pools.values());
            let mut all = pools.filter_map(Value::as_array).flatten();
            all.any(is_leaving)
        });
        Ok(String::new())
    }

    /// Waits until the value at a JSON pointer in a daemon's `/state` is as given.
    pub fn wait_state_value(&self, args: &mut Args) -> Output {
        let daemon = self.daemon(args.positional("name")?)?;
        let pointer = format!("/{}", args.positional("JSON pointer")?);
        let wanted = args.positional("value")?;
        let actual = || {
            let state = fetch_state(daemon.admin_address);
            let value = state.pointer(&pointer).cloned().unwrap_or(Value::Null);
            let text = value.as_str().map(str::to_owned);
            text.unwrap_or_else(|| value.to_string())
        };
        wait_until(&format!("{pointer} {wanted}"), || actual() == wanted);
        Ok(String::new())
    }
}

/// Sleeps in real time, for time limits whose end no state shows.
pub fn sleep(args: &mut Args) -> Output {
    let ms: u64 = args.positional("ms")?.parse()?;
    thread::sleep(Duration::from_millis(ms));
    Ok(String::new())
}

fn is_serving(entry: &Daemon, entries: usize) -> bool {
    let view = &fetch_state(entry.admin_address)["view"];
    let alive = |member: &&Value| member["alive"] == true;
    let members = view["members"].as_array().into_iter().flatten();
    let targets = view["targets"][READY_POOL].as_array();
    members.filter(alive).count() == entries && targets.is_some_and(|t| !t.is_empty())
}
