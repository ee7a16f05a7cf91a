//! One step of a simulated process: claims, appends, reads of the log and heartbeats.

use std::net::SocketAddr;

use amaranthwick::id::Offset;
use amaranthwick::ledger::{decode_snapshot, encode_snapshot};
use amaranthwick::membership::HEARTBEAT_INTERVAL_MS;
use amaranthwick::services::LogError;

use super::simulation::{Simulation, ordered_pair};

/// Name of the platform in `cut` and `heal`.
const PLATFORM: &str = "platform";
const TICK_INTERVAL_MS: u64 = 250;
const CLAIM_INTERVAL_MS: u64 = 200;

impl Simulation {
    /// True every `period_ms` of virtual time since the start.
    fn is_due(&self, period_ms: u64) -> bool {
        let elapsed = self.now.duration_since(self.start).as_millis();
        elapsed.is_multiple_of(u128::from(period_ms))
    }

    pub(super) fn step(&mut self, i: usize) {
        if self.is_due(TICK_INTERVAL_MS) {
            self.processes[i].core.tick(self.now);
        }
        if self.is_due(CLAIM_INTERVAL_MS) {
            self.processes[i].propose_due_claim(self.now);
        }
        self.append(i);
        self.read_log(i);
        if self.is_due(HEARTBEAT_INTERVAL_MS) {
            self.exchange_heartbeats(i);
        }
    }

    fn append(&mut self, i: usize) {
        let batch = self.processes[i].core.take_batch(self.now);
        if batch.is_empty() {
            return;
        }
        let result = if self.can_reach(i, PLATFORM) {
            self.log.append(&batch)
        } else {
            Err(LogError::NotSent("cut off".to_owned()))
        };
        self.processes[i]
            .core
            .note_append_result(result.as_ref().copied(), self.now);
    }

    fn read_log(&mut self, i: usize) {
        let from = self.processes[i].core.state().offset();
        let result = if self.can_reach(i, PLATFORM) {
            self.log.read(from)
        } else {
            Err(LogError::NotSent("cut off".to_owned()))
        };
        let core = &mut self.processes[i].core;
        match result {
            Ok(batch) => {
                if core.fold(&batch, self.now, self.now).is_err() {
                    self.catch_up(i);
                }
            }
            Err(LogError::Unavailable) => {
                core.note_log_unavailable(self.now);
                self.catch_up_if_behind(i);
            }
            Err(_) => {
                core.note_log_unreachable(self.now);
                self.catch_up_if_behind(i);
            }
        }
    }

    fn catch_up_if_behind(&mut self, i: usize) {
        let (folded, head) = self.processes[i].core.folded_and_head();
        if folded == Offset(0) || folded < head {
            self.catch_up(i);
        }
    }

    /// Replaces the state by that of the reachable process that has read the most of the log.
    fn catch_up(&mut self, i: usize) {
        if !self.state_transfer {
            return;
        }
        let own = self.processes[i].core.state();
        let others = self.processes.values().filter(|other| {
            !other.frozen && self.is_connected(&self.processes[i].data_centre, &other.data_centre)
        });
        let best = others.max_by_key(|other| other.core.state().offset());
        let stored = best.map(|other| encode_snapshot(other.core.state()));
        let state = stored.and_then(|bytes| decode_snapshot(&bytes, own.trust()).ok());
        if let Some(state) = state {
            self.processes[i].core.adopt(state);
        }
    }

    fn exchange_heartbeats(&mut self, i: usize) {
        let receivers = self.processes[i].core.heartbeat_receivers();
        for receiver in receivers {
            let Some(j) = self.reachable_process(i, receiver) else {
                continue;
            };
            let heartbeat = self.processes[i].core.make_heartbeat(self.now);
            self.processes[j]
                .core
                .receive_heartbeat(&heartbeat, self.now);
            let answer = self.processes[j].core.make_heartbeat(self.now);
            self.processes[i].core.receive_heartbeat(&answer, self.now);
        }
    }

    /// Index of the process at `address`, if process `i` can reach it and it is not frozen.
    fn reachable_process(&self, i: usize, address: SocketAddr) -> Option<usize> {
        let name = self.peer_names.get(&address)?;
        let j = self.processes.get_index_of(name)?;
        let other = &self.processes[j];
        let reached = self.can_reach(i, &other.data_centre);
        (i != j && reached && !other.frozen).then_some(j)
    }

    fn can_reach(&self, i: usize, place: &str) -> bool {
        self.is_connected(&self.processes[i].data_centre, place)
    }

    fn is_connected(&self, a: &str, b: &str) -> bool {
        !self.cuts.contains(&ordered_pair(a, b))
    }
}
