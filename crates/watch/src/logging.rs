//! Structured logs as text or JSON.

use std::io;

use slog::{Drain, Level, LevelFilter, Logger, o};
use slog_async::OverflowStrategy;

/// Records that may wait for the log's thread before new ones are dropped.
const MAX_QUEUED_RECORDS: usize = 2_048;

/// Form of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Text for people.
    Text,
    /// One JSON object a line.
    Json,
}

/// Opens a logger that writes to the standard error stream.
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
    // A log that cannot be written must not stop the service.
    let filtered = LevelFilter::new(drain.ignore_res(), level).ignore_res();
    let queued = slog_async::Async::new(filtered)
        .chan_size(MAX_QUEUED_RECORDS)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build();
    Logger::root(queued.ignore_res(), o!())
}
