//! One entry and the executors of one pool, in one data centre of an example document.
#![allow(dead_code)] // Each bench uses only some of it.

use std::time::{Duration, Instant};

use amaranthwick::control::Control;
use amaranthwick::document::{self, Document, TeamKey, key_hash};
use amaranthwick::entry::Entry;
use amaranthwick::id::{DataCentre, KeyId, PoolId, QueueId};
use amaranthwick::view::{TeamLimits, View};
use amaranthwick_standins::load::{Header, LoadRequest, LoadSpec};
use amaranthwick_standins::{ClassSpec, DataCentreSpec, Fleet, FleetSpec};
use indexmap::IndexMap;

use crate::common;

/// Run time of each request on an executor.
pub(crate) const RUN_MS: u64 = 50;

/// Most open connections of callers, and of each load.
const MAX_CALLERS: usize = 9_000;

/// An example document and the pool that gets the load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Example {
    pub(crate) name: &'static str,
    text: &'static str,
    data_centre: &'static str,
    pool: &'static str,
    /// Queue of the pool that accepts the keys of all teams.
    pub(crate) queue: &'static str,
    /// Second queue of the pool.
    pub(crate) second_queue: &'static str,
    /// Team that owns both queues.
    pub(crate) owner: &'static str,
}

pub(crate) const EXAMPLES: [Example; 2] = [
    Example {
        name: "neretva",
        text: include_str!("../../examples/neretva.jsonc"),
        data_centre: "split",
        pool: "headcount",
        queue: "headcount",
        second_queue: "flood-alerts",
        owner: "herds",
    },
    Example {
        name: "kon-jalan",
        text: include_str!("../../examples/kon-jalan.jsonc"),
        data_centre: "klang",
        pool: "quotes",
        queue: "crew-quotes",
        second_queue: "quotes",
        owner: "quotes",
    },
];

/// A running entry with the executors of the example's pool.
pub(crate) struct Deployment {
    pub(crate) entry: Entry,
    pub(crate) executors: Fleet,
    pub(crate) document: Document,
    /// Requests that all executors together run at a time.
    pub(crate) slots: u64,
    _control: Control,
}

impl Deployment {
    pub(crate) fn open(example: &Example) -> Self {
        let document =
            with_bench_keys(document::parse(example.name, example.text).expect("example"));
        let data_centre = DataCentre::new(example.data_centre);
        let pool = PoolId::new(example.pool);
        let owner = document
            .teams
            .values()
            .find(|team| team.pools.contains_key(&pool));
        let spec = &owner.expect("pool").pools[&pool];
        let class = &document.fleet.classes[&spec.class];
        let count = spec.vms[&data_centre] as usize;
        let executors = start_executors(example, class.slots as usize, count);
        let addresses = executors.executors().iter().enumerate();
        let targets = addresses.map(|(i, executor)| {
            let mut target = common::target(i, executor.address, class.slots);
            target.data_centre = data_centre.clone();
            target
        });
        let targets: Vec<_> = targets.collect();

        let mut config = common::config("a");
        config.common.data_centre = data_centre.clone();
        config.max_callers = MAX_CALLERS;
        let (control, _commands) = Control::channel();
        let entry = Entry::open(&config, control.clone()).expect("entry");
        let mut member = common::member("a", entry.peer_address());
        member.data_centre = data_centre;
        let mut view = View::empty();
        view.document = Some(document.clone().into());
        view.targets = IndexMap::from([(pool, targets)]);
        view.members = vec![member];
        view.limits = limits_at_ceilings(&document);
        view.verified = Instant::now().checked_add(Duration::from_hours(1));
        control.publish(view);
        Self {
            entry,
            executors,
            slots: u64::from(class.slots) * count as u64,
            document,
            _control: control,
        }
    }

    /// Requests per second that the pool can serve.
    pub(crate) fn capacity(&self) -> f64 {
        to_f64(self.slots) * 1_000.0 / to_f64(RUN_MS)
    }

    /// Most requests that wait in the example's first queue.
    pub(crate) fn max_queued(&self, example: &Example) -> usize {
        let queue = QueueId::new(example.queue);
        let mut teams = self.document.teams.values();
        let spec = teams.find_map(|team| team.queues.get(&queue));
        spec.expect("queue").max_queued as usize
    }

    /// Settings of a load that calls the entry.
    pub(crate) fn load_spec(&self) -> LoadSpec {
        LoadSpec {
            address: self.entry.caller_address(),
            connections: MAX_CALLERS,
            timeout: Duration::from_mins(1),
            threads: 1,
        }
    }
}

/// A request with a team's key, which asks to wait for a slot for at most `wait_s`.
pub(crate) fn request(queue: &str, team: &str, urgency: u8, wait_s: u64) -> LoadRequest {
    let bearer = common::authorization_line(team);
    let secret = bearer.trim_end().trim_start_matches("Authorization: ");
    let headers = [
        ("Authorization", secret.to_owned()),
        ("Priority", format!("u={urgency}")),
        ("Prefer", format!("wait={wait_s}")),
    ];
    LoadRequest {
        method: "GET".to_owned(),
        path: format!("/q/{queue}/x"),
        headers: headers.map(|(name, value)| header(name, value)).to_vec(),
        ..LoadRequest::default()
    }
}

#[allow(clippy::cast_precision_loss)] // Counts of a bench stay far below 2^52.
pub(crate) fn to_f64(count: u64) -> f64 {
    count as f64
}

fn header(name: &str, value: String) -> Header {
    Header {
        name: name.to_owned(),
        value,
    }
}

/// Adds to every team a key whose secret the bench knows.
fn with_bench_keys(mut document: Document) -> Document {
    for (id, team) in &mut document.teams {
        let sha256 = key_hash(&common::team_secret(id.as_str()));
        team.keys.insert(KeyId::new("bench"), TeamKey { sha256 });
    }
    document
}

/// Limits that let the entry use the whole ceiling of every team.
fn limits_at_ceilings(document: &Document) -> TeamLimits {
    let teams = document.teams.iter();
    TeamLimits {
        version: 1,
        valid_until: None,
        teams: teams.map(|(id, team)| (id.clone(), team.ceiling)).collect(),
    }
}

fn start_executors(example: &Example, slots: usize, count: usize) -> Fleet {
    let class = ClassSpec {
        slots,
        run_ms: RUN_MS,
        ..ClassSpec::default()
    };
    let data_centre = DataCentreSpec {
        vms: IndexMap::from([("executor".to_owned(), count)]),
        ..DataCentreSpec::default()
    };
    let spec = FleetSpec {
        classes: IndexMap::from([("executor".to_owned(), class)]),
        data_centres: IndexMap::from([(example.data_centre.to_owned(), data_centre)]),
        ..FleetSpec::default()
    };
    Fleet::open(&spec).expect("stand-ins")
}
