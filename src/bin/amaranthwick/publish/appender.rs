//! Appends a record and reads its verdict, however often an answer is lost.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use amaranthwick::config::OperatorConfig;
use amaranthwick::control::{Backoff, CONTROL_STREAM};
use amaranthwick::id::{DataCentre, RecordId};
use amaranthwick::services::{Log, LogClient, LogError};
use amaranthwick::telemetry::admin::RecordVerdict;
use async_io::Timer;

use crate::admin::{self, AdminError};

/// Time to append the record, in ms.
const APPEND_TIMEOUT_MS: u64 = 10_000;

/// Time from the append to the verdict, in ms; more than a process needs to read the log anew.
const VERDICT_TIMEOUT_MS: u64 = 15_000;

/// Time between two looks for the verdict, in ms.
const VERDICT_POLL_INTERVAL_MS: u64 = 50;

// Operators are in no data centre.
const DATA_CENTRE: &str = "operators";

/// Why there is no verdict.
#[derive(Debug)]
pub(super) enum AppendError {
    /// The record is not in the log.
    NotAppended(String),
    /// The record may be in the log.
    Unknown(String),
}

/// Appends `bytes`, the record `id`, and waits for its verdict.
pub(super) async fn append(
    config: &OperatorConfig,
    id: RecordId,
    bytes: &[u8],
) -> Result<RecordVerdict, AppendError> {
    let admins: Vec<_> = config.admins.values().copied().collect();
    let mut appender = Appender {
        log: LogClient::new(config.log, &DataCentre::new(DATA_CENTRE)),
        backoff: Backoff::default(),
        uncertain: false,
    };
    appender.append(bytes).await?;
    wait_verdict(&admins, id).await
}

struct Appender {
    log: LogClient,
    backoff: Backoff,
    /// True once an append may have taken effect without an answer.
    uncertain: bool,
}

impl Appender {
    /// Repeats the same record until an append is confirmed; the fold ignores repeats.
    async fn append(&mut self, bytes: &[u8]) -> Result<(), AppendError> {
        let deadline = Instant::now() + Duration::from_millis(APPEND_TIMEOUT_MS);
        let records = [bytes.to_vec()];
        loop {
            let Err(error) = self.log.append(CONTROL_STREAM, &records).await else {
                return Ok(());
            };
            self.uncertain |= matches!(error, LogError::Unknown(_));
            let pause = self.backoff.next_wait();
            if Instant::now() + pause >= deadline {
                return Err(self.give_up(&error));
            }
            Timer::after(pause).await;
        }
    }

    fn give_up(&self, error: &LogError) -> AppendError {
        if self.uncertain {
            AppendError::Unknown(error.to_string())
        } else {
            AppendError::NotAppended(error.to_string())
        }
    }
}

async fn wait_verdict(admins: &[SocketAddr], id: RecordId) -> Result<RecordVerdict, AppendError> {
    let deadline = Instant::now() + Duration::from_millis(VERDICT_TIMEOUT_MS);
    let path = format!("/verdicts/{id}");
    loop {
        let error = match admin::get_any(admins, &path).await {
            Ok(verdict) => return Ok(verdict),
            Err(AdminError::Missing) => "no process has read the record yet".to_owned(),
            Err(AdminError::Failed(cause)) => cause,
        };
        if Instant::now() >= deadline {
            return Err(AppendError::Unknown(error));
        }
        Timer::after(Duration::from_millis(VERDICT_POLL_INTERVAL_MS)).await;
    }
}
