//! Control loop: runs the leader, and carries out its commands.

use std::iter;
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
use crate::scheduler::{Command, Event, Millis};

/// Longest time until a leading process runs the leader again, in ms.
const LEADER_TICK_MS: u64 = 25;

/// Longest time until a process that does not lead checks again whether it should claim the
/// role, in ms.
const FOLLOWER_TICK_MS: u64 = 100;

/// Pause after the leader has run, as a multiple of the time that this took. Events that arrive
/// in the pause are handled together, which leaves processor time for calls.
const PAUSE_FACTOR: u32 = 2;

/// Shortest pause after the leader has run. Under load thousands of events arrive in a second, and
/// each run has a cost of its own that grows with the number of targets.
const MIN_PAUSE: Duration = Duration::from_millis(2);

/// Longest pause after the leader has run.
const MAX_PAUSE: Duration = Duration::from_millis(30);

/// Runs the control loop for as long as the process runs.
pub(super) async fn run<S: Services>(shared: Arc<Shared<S>>) {
    let mut channels: Option<LeaderChannels> = None;
    let mut leader_tick = LEADER_TICK_MS;
    loop {
        let tick = if channels.is_some() {
            leader_tick
        } else {
            FOLLOWER_TICK_MS
        };
        let pause = async {
            Timer::after(Duration::from_millis(tick)).await;
        };
        future::or(shared.wait_for_wake(), pause).await;
        let started_at = Instant::now();
        match &channels {
            Some(leading) => match leading.run_leader(&shared) {
                Some(tick) => {
                    leader_tick = tick;
                    let pause = started_at.elapsed() * PAUSE_FACTOR;
                    Timer::after(pause.clamp(MIN_PAUSE, MAX_PAUSE)).await;
                }
                None => channels = None,
            },
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
    /// Passes the waiting events to the leader and carries out its commands. Returns the time after
    /// which it must run again although no event arrives, in ms, or `None` once this process no
    /// longer leads.
    fn run_leader<S: Services>(&self, shared: &Arc<Shared<S>>) -> Option<Millis> {
        let mut guard = shared.lock();
        let state = &mut *guard;
        let Some(leader) = &mut state.leader else {
            return None;
        };
        let events: Vec<Event> = iter::from_fn(|| self.events.try_recv().ok()).collect();
        // Read after the events were taken, so that none of them is later.
        let now = shared.clock.now();
        for event in events {
            leader.handle(event, now);
        }
        if leader.deposed(now) {
            state.step_down("deposed");
            return None;
        }
        state.decided_at = now;
        let commands = leader.poll(now, wall_ms());
        let next_pass = leader.next_pass_at().map(|at| at.saturating_sub(now));
        drop(guard);
        for command in commands {
            self.execute(shared, command);
        }
        Some(next_pass.map_or(LEADER_TICK_MS, |wait| wait.min(LEADER_TICK_MS)))
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
