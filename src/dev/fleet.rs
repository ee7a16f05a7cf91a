//! A fleet for development: stand-ins, entries in every data centre and a planner.

use std::time::{Duration, Instant};

use amaranthwick_standins as standins;
use anyhow::{Context, Result, bail};
use async_io::Timer;

use super::fleet_spec;
use super::process::{EntryProcess, Launcher, PlannerProcess};
use super::publish::Publisher;
use crate::document::{self, Document};
use crate::runtime::Runtime;
use crate::view::View;

/// Threads that serve the requests of all entries.
const TRAFFIC_THREADS: usize = 2;

/// One entry of a data centre owns a queue and the other forwards requests to it.
const ENTRIES_PER_DATA_CENTRE: usize = 2;

/// Time limit for the pools to get their VMs, in ms; it takes about one second.
const FILL_TIMEOUT_MS: u64 = 30_000;

/// Time between two checks of the pools, in ms.
const FILL_POLL_INTERVAL_MS: u64 = 20;

/// A running fleet in this process; dropping it stops the fleet.
#[derive(Debug)]
pub struct DevFleet {
    entries: Vec<EntryProcess>,
    planner: PlannerProcess,
    document: Document,
    publisher: Publisher,
    standins: standins::Fleet,
    _runtime: Runtime,
}

impl DevFleet {
    /// Starts a fleet and publishes `text`, a whole document signed with the example keys;
    /// returns once the pools have their VMs. `file` names the text in findings.
    ///
    /// # Errors
    /// Fails when the document has findings, a thread or socket can't be opened, or the pools
    /// don't get their VMs within 30 s.
    pub async fn open(file: &str, text: &str) -> Result<Self> {
        let document = document::parse(file, text)?;
        let standins = standins::Fleet::open(&fleet_spec(&document))?;
        let runtime = Runtime::start(TRAFFIC_THREADS)?;
        let launcher = Launcher {
            standins: &standins,
            runtime: &runtime,
        };
        let entries = open_entries(&document, &launcher).await?;
        let first_data_centre = document.fleet.data_centres.keys().next();
        let first_data_centre = first_data_centre.context("the document has no data centre")?;
        let planner = launcher.start_planner("planner-1", first_data_centre)?;
        let publisher = Publisher::new(planner.control().clone());
        publisher.publish_all(&document, text).await?;
        let fleet = Self {
            entries,
            planner,
            document,
            publisher,
            standins,
            _runtime: runtime,
        };
        fleet.wait_filled().await?;
        Ok(fleet)
    }

    /// All entries, grouped by data centre.
    #[must_use]
    pub fn entries(&self) -> &[EntryProcess] {
        &self.entries
    }

    /// The only planner, in the first data centre.
    #[must_use]
    pub const fn planner(&self) -> &PlannerProcess {
        &self.planner
    }

    /// The document published at the start; later edits don't change it.
    #[must_use]
    pub const fn document(&self) -> &Document {
        &self.document
    }

    /// Publishes edits signed with the example keys.
    #[must_use]
    pub const fn publisher(&self) -> &Publisher {
        &self.publisher
    }

    /// Stand-ins for the platform's services and VMs.
    #[must_use]
    pub const fn standins(&self) -> &standins::Fleet {
        &self.standins
    }

    async fn wait_filled(&self) -> Result<()> {
        let deadline = Instant::now() + Duration::from_millis(FILL_TIMEOUT_MS);
        while !self.is_filled() {
            if Instant::now() >= deadline {
                bail!("the pools were not filled within {FILL_TIMEOUT_MS} ms");
            }
            Timer::after(Duration::from_millis(FILL_POLL_INTERVAL_MS)).await;
        }
        Ok(())
    }

    /// True when the view of every entry has all entries and all targets of the pools that run a
    /// service.
    fn is_filled(&self) -> bool {
        self.entries.iter().all(|entry| {
            let view = entry.control().view();
            view.members.len() == self.entries.len() && has_targets(&view, &self.document)
        })
    }
}

async fn open_entries(document: &Document, launcher: &Launcher<'_>) -> Result<Vec<EntryProcess>> {
    let mut entries = Vec::new();
    for data_centre in document.fleet.data_centres.keys() {
        for i in 1..=ENTRIES_PER_DATA_CENTRE {
            let id = format!("{data_centre}-entry-{i}");
            entries.push(launcher.start_entry(&id, data_centre).await?);
        }
    }
    Ok(entries)
}

fn has_targets(view: &View, document: &Document) -> bool {
    let pools = document.teams.values().flat_map(|team| &team.pools);
    let mut serving = pools.filter(|(_, spec)| spec.service.is_some());
    serving.all(|(id, spec)| {
        let wanted: u32 = spec.vms.values().sum();
        let targets = view.targets.get(id).map_or(0, Vec::len);
        targets >= wanted as usize
    })
}
