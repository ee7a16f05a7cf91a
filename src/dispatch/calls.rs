//! Sends the calls of the leader's commands.

use std::sync::Arc;
use std::time::Instant;

use async_channel::Sender;

use super::clock::whole_micros;
use super::predecessor;
use super::services::{HoldRequest, Services, StartRequest, StopRequest};
use super::state::Shared;
use crate::scheduler::{Command, Event, Millis};
use crate::telemetry::metrics;

/// Label of a command in the metric that counts the leader's calls.
const fn call_label(command: &Command) -> &'static str {
    match command {
        Command::Append { .. } => "append",
        Command::Start { .. } => "start",
        Command::Stop { .. } => "stop",
        Command::Hold { .. } => "hold",
        Command::NotifyPredecessor { .. } => "notify",
        Command::ListVms => "list_vms",
        Command::BeginUpkeep { .. } => "upkeep",
        Command::MoveVm { .. } => "move",
        Command::ReportWave { .. } => "report",
    }
}

/// Sends the call of a command and passes its outcome to the leader as an event.
pub(super) async fn send_command<S: Services>(
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
            start_run(&shared, start, sent_at).await
        }
        Command::Stop { target, task, run } => {
            let stop = StopRequest {
                target: &target,
                task,
                run,
                epoch,
            };
            let answer = services.stop_run(stop).await;
            Event::StopAnswered {
                target: target.id.clone(),
                born: target.born,
                task,
                run,
                outcome: answer.outcome,
                clock_ms: answer.clock_ms,
                sent_at,
            }
        }
        Command::Hold {
            target,
            number,
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
                number,
                result,
                sent_at,
            }
        }
        Command::NotifyPredecessor { member } => predecessor::notify(&shared, member, epoch).await,
        Command::ListVms => Event::VmList(services.list_vms().await),
        Command::BeginUpkeep { vm, wave, send_by } => {
            let claim = shared.order_claim(epoch, send_by);
            let outcome = services.begin_upkeep(&vm, wave, claim).await;
            Event::VmOrderAnswered { vm, outcome }
        }
        Command::MoveVm { vm, pool, send_by } => {
            let claim = shared.order_claim(epoch, send_by);
            let outcome = services.move_vm(&vm, &pool, claim).await;
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

/// Starts a run, and measures how long the answer takes.
async fn start_run<S: Services>(
    shared: &Shared<S>,
    start: StartRequest<'_>,
    sent_at: Millis,
) -> Event {
    let (target, task, run) = (start.target, start.task, start.run);
    let started_at = Instant::now();
    let started = shared.services.start_run(start).await;
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
