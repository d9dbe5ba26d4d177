//! A non-blocking log on the standard output.
//!
//! Lines are kept in a bounded buffer and written in batches. When the buffer is full, new lines
//! are dropped and counted, so that a slow reader of the log never delays a request.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use slog::{Drain, Level, LevelFilter, Logger, o};
use tokio::time::sleep;

/// Interval between batches; each batch costs system calls.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);
/// Size of the buffer above which new lines are dropped.
const MAX_BUFFERED_BYTES: usize = 512 << 10;
/// Largest size of one write. A pipe accepts up to 4 KiB whole or not at all.
const MAX_WRITE_BYTES: usize = 4 << 10;
/// Longest line; longer ones are dropped and counted.
const MAX_LINE_BYTES: usize = 4 << 10;

#[derive(Debug, Default)]
struct State {
    /// Complete lines that are not written yet.
    pending: Vec<u8>,
    /// Lines dropped since the last `lines dropped` record was buffered.
    dropped_lines: u64,
}

/// Log lines that are not yet written to the standard output, shared by its clones.
#[derive(Debug, Clone, Default)]
pub struct Buffer {
    state: Arc<Mutex<State>>,
}

impl Buffer {
    fn with_state<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn push(&self, line: &[u8]) {
        self.with_state(|state| {
            if state.pending.len() + line.len() > MAX_BUFFERED_BYTES {
                state.dropped_lines += 1;
                return;
            }
            if state.dropped_lines > 0 {
                let note =
                    format!("{{\"msg\":\"lines dropped\",\"count\":{}}}\n", state.dropped_lines);
                state.pending.extend_from_slice(note.as_bytes());
                state.dropped_lines = 0;
            }
            state.pending.extend_from_slice(line);
        });
    }

    /// Writes as many lines as the standard output accepts without blocking.
    ///
    /// The rest stays in the buffer.
    pub fn flush(&self) {
        let mut lines = self.with_state(|state| std::mem::take(&mut state.pending));
        if lines.is_empty() {
            return;
        }
        let written = write_lines(&lines);
        if written < lines.len() {
            self.with_state(|state| {
                lines.drain(..written);
                lines.append(&mut state.pending);
                state.pending = lines;
            });
        }
    }

    /// Makes the standard output non-blocking, then flushes at a fixed interval forever.
    pub async fn run(self) {
        set_nonblocking();
        loop {
            sleep(FLUSH_INTERVAL).await;
            self.flush();
        }
    }
}

/// Writes whole lines in chunks and returns how many bytes were accepted.
fn write_lines(bytes: &[u8]) -> usize {
    let mut written = 0;
    while written < bytes.len() {
        let chunk = &bytes[written..bytes.len().min(written + MAX_WRITE_BYTES)];
        let length =
            chunk.iter().rposition(|byte| *byte == b'\n').map_or(chunk.len(), |end| end + 1);
        let taken = write_chunk(&bytes[written..written + length]);
        written += taken;
        if taken < length {
            break;
        }
    }
    written
}

/// Writes one chunk and returns how many bytes need no retry.
fn write_chunk(bytes: &[u8]) -> usize {
    match rustix::io::write(io::stdout(), bytes) {
        Ok(count) => count,
        // The reader is slow or the call was interrupted; the next flush retries.
        Err(rustix::io::Errno::AGAIN | rustix::io::Errno::INTR) => 0,
        // The output is closed for good, so the lines are discarded.
        Err(_) => bytes.len(),
    }
}

fn set_nonblocking() {
    let stdout = io::stdout();
    let flags = rustix::fs::fcntl_getfl(&stdout);
    let result = flags
        .and_then(|flags| rustix::fs::fcntl_setfl(&stdout, flags | rustix::fs::OFlags::NONBLOCK));
    if let Err(error) = result {
        eprintln!("cannot make the log non-blocking: {error}");
    }
}

/// Collects the bytes of one line and adds the complete line to the buffer.
#[derive(Debug, Default)]
struct Writer {
    buffer: Buffer,
    line: Vec<u8>,
}

impl Write for Writer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.last() == Some(&b'\n') {
            if self.line.len() <= MAX_LINE_BYTES {
                self.buffer.push(&self.line);
            } else {
                self.buffer.with_state(|state| state.dropped_lines += 1);
            }
            self.line.clear();
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Opens a logger of JSON lines at `level` and above, with its buffer.
///
/// Lines are written only by [`Buffer::run`], which the caller spawns, and [`Buffer::flush`].
pub fn open(level: Level) -> (Logger, Buffer) {
    let buffer = Buffer::default();
    let writer = Writer { buffer: buffer.clone(), line: Vec::new() };
    let drain = Mutex::new(slog_json::Json::default(writer));
    // A failure to log must not stop the service.
    let filtered = LevelFilter::new(drain.ignore_res(), level).ignore_res();
    (Logger::root(filtered, o!()), buffer)
}
