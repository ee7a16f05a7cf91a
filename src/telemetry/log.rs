//! Logging: one line of `key=value` pairs per event.
//!
//! Daemons pass their lines to a thread that writes them, so a slow or closed output loses
//! lines but never blocks the daemon. The number of dropped lines is logged.
//!
//! An event is written as
//! `time=2026-03-01T04:05:06.789Z level=info event=listening address=127.0.0.1:4000`.

use std::env;
use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::{Context, Result};
use chrono::{DateTime, SecondsFormat, Utc};
use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, Sink, StdStreamSink};
use spdlog::terminal_style::StyleMode;
use spdlog::{Level, LevelFilter, Logger, Record, StringBuf};

use super::pair::write_pair;
use super::throttle::Throttle;

/// Environment variable that names the least severe level to be written.
pub const LEVEL_VARIABLE: &str = "AMARANTHWICK_LOG";

/// Standard stream that the log is written to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stream {
    /// Standard output, for daemons.
    Stdout,
    /// Standard error, for commands whose standard output is their result.
    Stderr,
}

/// Sets the default logger to write `key=value` lines to `stream`.
///
/// The level comes from [`LEVEL_VARIABLE`] and is `info` if the variable is not set.
///
/// # Errors
/// Fails when the value of the variable is not a log level.
pub fn init(stream: Stream) -> Result<()> {
    init_with_default(stream, Level::Info)
}

/// Like [`init`], with the level `default` if the variable is not set.
///
/// # Errors
/// Fails when the value of the variable is not a log level.
pub fn init_with_default(stream: Stream, default: Level) -> Result<()> {
    let level = match env::var(LEVEL_VARIABLE) {
        Ok(name) => parse_level(&name)?,
        Err(_) => default,
    };
    let sink = StdStreamSink::builder().style_mode(StyleMode::Never);
    let sink = match stream {
        Stream::Stdout => sink.stdout(),
        Stream::Stderr => sink.stderr(),
    };
    let sink = sink
        .formatter(KeyValueFormat)
        .build_arc()
        .context("open the log")?;
    let sink: Arc<dyn Sink> = match stream {
        Stream::Stdout => async_sink(sink)?,
        Stream::Stderr => sink,
    };
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(level))
        .build_arc()
        .context("open the log")?;
    spdlog::set_default_logger(Arc::clone(&logger));
    Ok(())
}

/// Wraps `sink` so that a separate thread writes to it. Lines are dropped while its queue is
/// full, and beyond the rate limit of [`Throttle`].
fn async_sink(sink: Arc<StdStreamSink>) -> Result<Arc<dyn Sink>> {
    let queue = AsyncPoolSink::builder()
        .sink(sink)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build_arc()
        .context("open the log's queue")?;
    Ok(Arc::new(Throttle::new(queue)))
}

/// Logs that the process listens on `address` for `role`: `callers`, `peers` or `admin`.
pub fn listening(role: &str, address: SocketAddr) {
    spdlog::info!("listening", kv: { role, address = address.to_string() });
}

fn parse_level(name: &str) -> Result<Level> {
    name.parse::<Level>()
        .with_context(|| format!("{LEVEL_VARIABLE}={name:?} names no log level"))
}

/// Formats a log record as one line of `key=value` pairs.
#[derive(Clone, Copy, Debug, Default)]
pub struct KeyValueFormat;

impl Formatter for KeyValueFormat {
    fn format(
        &self,
        record: &Record,
        line: &mut StringBuf,
        _context: &mut FormatterContext,
    ) -> spdlog::Result<()> {
        write_record(record, line).map_err(spdlog::Error::FormatRecord)
    }
}

fn write_record(record: &Record, line: &mut StringBuf) -> std::fmt::Result {
    let time = DateTime::<Utc>::from(record.time());
    let time = time.to_rfc3339_opts(SecondsFormat::Millis, true);
    write_pair(line, "time", &time)?;
    line.push(' ');
    write_pair(line, "level", record.level().as_str())?;
    line.push(' ');
    write_pair(line, "event", record.payload())?;
    for (key, value) in record.key_values() {
        line.push(' ');
        write_pair(line, key.as_str(), &value.to_string())?;
    }
    line.push('\n');
    Ok(())
}
