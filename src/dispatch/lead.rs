//! Control loop: runs the leader, and carries out its commands.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;

use super::claiming::claim;
use super::clock::{wall_ms, whole_micros};
use super::services::{HoldRequest, Services, StartRequest, StopRequest};
use super::state::Shared;
use super::writer::Batch;
use crate::scheduler::{Command, Event};
use crate::telemetry::metrics;

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

/// Label of a command in the metric that counts the leader's calls.
const fn call_label(command: &Command) -> &'static str {
    match command {
        Command::Append { .. } => "append",
        Command::Start { .. } => "start",
        Command::Stop { .. } => "stop",
        Command::Hold { .. } => "hold",
        Command::ListVms => "list_vms",
        Command::BeginUpkeep { .. } => "upkeep",
        Command::MoveVm { .. } => "move",
        Command::ReportWave { .. } => "report",
    }
}

/// Sends the call of a command and passes its outcome to the leader as an event.
async fn send_command<S: Services>(
    shared: Arc<Shared<S>>,
    event_tx: Sender<Event>,
    epoch: u64,
    command: Command,
) {
    let services = &shared.services;
    let sent_at = shared.clock.now();
    let tags = [("call", call_label(&command))];
    shared.metrics.count(metrics::LEADER_CALLS, 1, &tags);
    let event = match command {
        Command::Append { .. } => return,
        Command::Start {
            target,
            task,
            run,
            spec,
            deadline_ms,
            checkpoint,
        } => {
            let start = StartRequest {
                target: &target,
                task,
                run,
                spec: &spec,
                deadline_ms,
                epoch,
                checkpoint: &checkpoint,
            };
            let started_at = Instant::now();
            let started = services.start_run(start).await;
            let elapsed = whole_micros(started_at.elapsed());
            shared.metrics.record(metrics::START_US, elapsed, &[]);
            Event::StartAnswered {
                target: target.id.clone(),
                born: target.born,
                task,
                run,
                outcome: started.outcome,
                clock_ms: started.clock_ms,
                sent_at,
            }
        }
        Command::Stop { target, task, run } => {
            let stop = StopRequest {
                target: &target,
                task,
                run,
                epoch,
            };
            let outcome = services.stop_run(stop).await;
            Event::StopAnswered {
                target: target.id.clone(),
                born: target.born,
                task,
                outcome,
            }
        }
        Command::Hold {
            target,
            deadline_ms,
            forget_up_to,
            wait_ms,
        } => {
            let hold = HoldRequest {
                target: &target,
                deadline_ms,
                forget_up_to,
                wait_ms,
                epoch,
            };
            let result = services.hold(hold).await;
            Event::HoldAnswered {
                target: target.id.clone(),
                born: target.born,
                result,
                sent_at,
            }
        }
        Command::ListVms => Event::VmList(services.list_vms().await),
        Command::BeginUpkeep { vm, wave } => {
            let outcome = services.begin_upkeep(&vm, wave, epoch).await;
            Event::VmOrderAnswered { vm, outcome }
        }
        Command::MoveVm { vm, pool } => {
            let outcome = services.move_vm(&vm, &pool, epoch).await;
            Event::VmOrderAnswered { vm, outcome }
        }
        Command::ReportWave { wave, complete } => {
            let stored = services.report_wave(wave, complete).await;
            Event::WaveReported { wave, stored }
        }
    };
    let _ = event_tx.try_send(event);
    shared.wake();
}
