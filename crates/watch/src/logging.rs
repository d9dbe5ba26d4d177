//! Structured logs on the standard error stream, as text or JSON.

use std::io;

use slog::{Drain, Level, LevelFilter, Logger, o};
use slog_async::OverflowStrategy;

/// Capacity of the queue to the log's thread. When it is full, new records are dropped.
const MAX_QUEUED_RECORDS: usize = 2_048;

/// Format of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Plain text, meant for people to read.
    Text,
    /// One JSON object per line.
    Json,
}

/// Opens a logger whose own thread writes records of `level` and above.
///
/// A log call never blocks: when the queue is full, records are dropped and their number is logged.
pub fn open(format: Format, level: Level) -> Logger {
    match format {
        Format::Text => {
            let plain = slog_term::PlainDecorator::new(io::stderr());
            root_logger(slog_term::FullFormat::new(plain).build(), level)
        }
        Format::Json => root_logger(slog_json::Json::default(io::stderr()), level),
    }
}

fn root_logger<D>(drain: D, level: Level) -> Logger
where
    D: Drain + Send + 'static,
    D::Err: std::fmt::Debug,
{
    // A failure to log must not stop the service.
    let filtered = LevelFilter::new(drain.ignore_res(), level).ignore_res();
    let queued = slog_async::Async::new(filtered)
        .chan_size(MAX_QUEUED_RECORDS)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build();
    Logger::root(queued.ignore_res(), o!())
}
