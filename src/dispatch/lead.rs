//! Control loop: runs the leader, and carries out its commands.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;

use super::calls::send_command;
use super::claiming::claim;
use super::clock::wall_ms;
use super::services::Services;
use super::state::Shared;
use super::writer::Batch;
use crate::scheduler::{Command, Event};

/// Longest time until a leading process runs the leader again, in ms.
const LEADER_TICK_MS: u64 = 25;

/// Longest time until a process that does not lead checks again whether it should claim the
/// role, in ms.
const FOLLOWER_TICK_MS: u64 = 100;

/// Pause after the leader has run, as a multiple of the time that this took. Events that arrive
/// in the pause are handled together, which leaves processor time for calls.
const PAUSE_FACTOR: u32 = 2;

/// Longest pause after the leader has run.
const MAX_PAUSE: Duration = Duration::from_millis(30);

/// Runs the control loop for as long as the process runs.
pub(super) async fn run<S: Services>(shared: Arc<Shared<S>>) {
    let mut channels: Option<LeaderChannels> = None;
    loop {
        let tick = if channels.is_some() {
            LEADER_TICK_MS
        } else {
            FOLLOWER_TICK_MS
        };
        let pause = async {
            Timer::after(Duration::from_millis(tick)).await;
        };
        future::or(shared.wait_for_wake(), pause).await;
        let started_at = Instant::now();
        match &channels {
            Some(leading) if !leading.run_leader(&shared) => channels = None,
            Some(_) => {
                let pause = (started_at.elapsed() * PAUSE_FACTOR).min(MAX_PAUSE);
                Timer::after(pause).await;
            }
            None => channels = claim(&shared).await,
        }
    }
}

/// Channels of a process that leads.
#[derive(Debug)]
pub(super) struct LeaderChannels {
    /// Fencing token of the leader's claim.
    pub(super) epoch: u64,
    /// Events that the leader has not handled yet.
    pub(super) events: Receiver<Event>,
    /// Sender for `events`, given to the tasks that carry out commands.
    pub(super) event_tx: Sender<Event>,
    /// Batches for the task that stores them.
    pub(super) batch_tx: Sender<Batch>,
}

impl LeaderChannels {
    /// Passes the waiting events to the leader and carries out its commands. Returns false once
    /// this process no longer leads.
    fn run_leader<S: Services>(&self, shared: &Arc<Shared<S>>) -> bool {
        let now = shared.clock.now();
        let mut guard = shared.lock();
        let state = &mut *guard;
        let Some(leader) = &mut state.leader else {
            return false;
        };
        while let Ok(event) = self.events.try_recv() {
            leader.handle(&mut state.table, event, now);
        }
        if leader.deposed(now) {
            state.step_down("deposed");
            return false;
        }
        let commands = leader.poll(&mut state.table, now, wall_ms());
        drop(guard);
        for command in commands {
            self.execute(shared, command);
        }
        true
    }

    /// Queues a batch to be stored, or starts a task for any other command.
    fn execute<S: Services>(&self, shared: &Arc<Shared<S>>, command: Command) {
        if let Command::Append {
            batch,
            records,
            forgotten_jobs,
        } = command
        {
            let batch = Batch {
                number: batch,
                records,
                forgotten_jobs,
            };
            let _ = self.batch_tx.try_send(batch);
            return;
        }
        let task = send_command(
            Arc::clone(shared),
            self.event_tx.clone(),
            self.epoch,
            command,
        );
        shared.runtime.spawn(task).detach();
    }
}
