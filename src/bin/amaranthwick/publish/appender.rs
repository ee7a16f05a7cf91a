//! Appends a record to the log and waits for its verdict; retries when responses are lost.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use amaranthwick::config::OperatorConfig;
use amaranthwick::control::{Backoff, CONTROL_STREAM};
use amaranthwick::id::{DataCentre, RecordId};
use amaranthwick::services::{Log, LogClient, LogError};
use amaranthwick::telemetry::admin::RecordVerdict;
use async_io::Timer;

use crate::admin::{self, AdminError};

/// Time limit for appending the record, in ms.
const APPEND_TIMEOUT_MS: u64 = 10_000;

/// Time limit from the append to the verdict, in ms; long enough for a process to read the log from
/// its start.
const VERDICT_TIMEOUT_MS: u64 = 15_000;

/// Time between two requests for the verdict, in ms.
const VERDICT_POLL_INTERVAL_MS: u64 = 50;

// Stands in for the name of a data centre, because operators are in none.
const DATA_CENTRE: &str = "operators";

/// Why no verdict was received.
#[derive(Debug)]
pub(super) enum AppendError {
    /// The record was not appended to the log.
    NotAppended(String),
    /// The record may have been appended to the log.
    Unknown(String),
}

/// Appends the encoded record `bytes`, whose id is `id`, and waits for its verdict.
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
    /// True once an append may have succeeded although no response was received.
    uncertain: bool,
}

impl Appender {
    /// Appends the record until the log confirms it; a repeated record has no effect.
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
            Err(AdminError::NotFound) => "no process has read the record yet".to_owned(),
            Err(AdminError::Failed(cause)) => cause,
        };
        if Instant::now() >= deadline {
            return Err(AppendError::Unknown(error));
        }
        Timer::after(Duration::from_millis(VERDICT_POLL_INTERVAL_MS)).await;
    }
}
