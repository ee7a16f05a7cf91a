//! One entry and the executors of one pool, in one data centre of an example.
#![allow(dead_code)] // Each bench uses a part of it.

use std::time::{Duration, Instant};

use amaranthwick::control::Control;
use amaranthwick::document::{self, Document, TeamKey, key_hash};
use amaranthwick::entry::Entry;
use amaranthwick::id::{DataCentre, KeyId, PoolId, QueueId};
use amaranthwick::view::{Limits, View};
use amaranthwick_standins::load::{Header, LoadRequest, LoadSpec};
use amaranthwick_standins::{ClassSpec, DataCentreSpec, Fleet, FleetSpec};
use indexmap::IndexMap;

use crate::common;

/// Time that every request runs.
pub(crate) const RUN_MS: u64 = 50;

const MAX_CALLERS: usize = 9_000;

/// An example document and the pool of it that is loaded.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Example {
    pub(crate) name: &'static str,
    text: &'static str,
    data_centre: &'static str,
    pool: &'static str,
    /// Queue for the keys of every team.
    pub(crate) queue: &'static str,
    /// Second queue of the pool.
    pub(crate) other: &'static str,
    /// Owner of both queues.
    pub(crate) owner: &'static str,
}

pub(crate) const EXAMPLES: [Example; 2] = [
    Example {
        name: "neretva",
        text: include_str!("../../examples/neretva.jsonc"),
        data_centre: "split",
        pool: "headcount",
        queue: "headcount",
        other: "flood-alerts",
        owner: "herds",
    },
    Example {
        name: "kon-jalan",
        text: include_str!("../../examples/kon-jalan.jsonc"),
        data_centre: "klang",
        pool: "quotes",
        queue: "crew-quotes",
        other: "quotes",
        owner: "quotes",
    },
];

/// A running entry with its executors.
pub(crate) struct Site {
    pub(crate) entry: Entry,
    pub(crate) executors: Fleet,
    pub(crate) document: Document,
    pub(crate) slots: u64,
    _control: Control,
}

impl Site {
    pub(crate) fn open(example: &Example) -> Self {
        let document = keyed(document::parse(example.name, example.text).expect("example"));
        let data_centre = DataCentre::new(example.data_centre);
        let pool = PoolId::new(example.pool);
        let owner = document
            .teams
            .values()
            .find(|team| team.pools.contains_key(&pool));
        let spec = &owner.expect("pool").pools[&pool];
        let class = &document.fleet.classes[&spec.class];
        let count = spec.vms[&data_centre] as usize;
        let executors = open_executors(example, class.slots as usize, count);
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
        view.limits = ceilings(&document);
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

    /// Requests a second that the pool serves.
    pub(crate) fn capacity(&self) -> f64 {
        number(self.slots) * 1_000.0 / number(RUN_MS)
    }

    /// Most requests that wait in a queue.
    pub(crate) fn max_queued(&self, example: &Example) -> usize {
        let queue = QueueId::new(example.queue);
        let mut teams = self.document.teams.values();
        let spec = teams.find_map(|team| team.queues.get(&queue));
        spec.expect("queue").max_queued as usize
    }

    pub(crate) fn load(&self) -> LoadSpec {
        LoadSpec {
            address: self.entry.caller_address(),
            connections: MAX_CALLERS,
            timeout: Duration::from_mins(1),
            threads: 1,
        }
    }
}

/// A request of a team; `wait` in seconds.
pub(crate) fn request(queue: &str, team: &str, urgency: u8, wait: u64) -> LoadRequest {
    let bearer = common::authorization_line(team);
    let secret = bearer.trim_end().trim_start_matches("Authorization: ");
    let headers = [
        ("Authorization", secret.to_owned()),
        ("Priority", format!("u={urgency}")),
        ("Prefer", format!("wait={wait}")),
    ];
    LoadRequest {
        method: "GET".to_owned(),
        path: format!("/q/{queue}/x"),
        headers: headers.map(|(name, value)| header(name, value)).to_vec(),
        ..LoadRequest::default()
    }
}

/// Counts of a bench stay far below 2^52.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn number(count: u64) -> f64 {
    count as f64
}

fn header(name: &str, value: String) -> Header {
    Header {
        name: name.to_owned(),
        value,
    }
}

/// Gives every team a key that the bench knows.
fn keyed(mut document: Document) -> Document {
    for (id, team) in &mut document.teams {
        let sha256 = key_hash(&common::team_secret(id.as_str()));
        team.keys.insert(KeyId::new("bench"), TeamKey { sha256 });
    }
    document
}

fn ceilings(document: &Document) -> Limits {
    let teams = document.teams.iter();
    Limits {
        version: 1,
        until: None,
        teams: teams.map(|(id, team)| (id.clone(), team.ceiling)).collect(),
    }
}

fn open_executors(example: &Example, slots: usize, count: usize) -> Fleet {
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
