//! Journal of the requests that an upstream stand-in runs.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// One run of a request at an upstream; a retried request has several.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Name of the upstream that ran the request.
    pub upstream: String,
    /// Client account from the request header `lacewing-account`; empty if absent.
    pub account: String,
    /// Idempotency key that the caller set; empty if absent.
    pub idempotency_key: String,
    /// Id that the instance gave to the request; empty if absent.
    pub request_id: String,
    /// Path of the request at the upstream.
    pub path: String,
    /// Marker that the caller put into the request; empty if absent.
    #[serde(default)]
    pub marker: String,
    /// Number of tokens of the prompt; 0 at a plain service.
    pub prompt_tokens: u64,
    /// Number of prompt tokens that were in the prefix cache.
    #[serde(default)]
    pub cached_tokens: u64,
    /// Number of tokens that the run has generated.
    pub completion_tokens: u64,
    /// Whether the run generated its whole answer.
    pub finished: bool,
    /// Start of the run, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub started_ms: u64,
}

/// One line of a journal file; `place` is the index of the run.
#[derive(Debug, Serialize, Deserialize)]
#[serde(untagged)]
enum Entry {
    /// The run started; `run` is its first state.
    Start { place: usize, run: Run },
    /// The run made progress or ended.
    Change { place: usize, completion_tokens: u64, finished: bool },
}

#[derive(Debug, Default)]
struct State {
    runs: Vec<Run>,
    file: Option<File>,
}

impl State {
    fn append(&mut self, entry: &Entry) {
        let Some(file) = &mut self.file else { return };
        let mut text = serde_json::to_vec(entry).expect("a journal entry serializes to JSON");
        text.push(b'\n');
        file.write_all(&text).expect("the journal file is writable");
    }
}

/// Runs of one or more upstreams in the order of their starts; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Journal {
    state: Arc<Mutex<State>>,
}

impl Journal {
    /// Opens a journal that also appends each change to a new file.
    ///
    /// The file keeps the runs if the process crashes.
    ///
    /// # Errors
    ///
    /// Returns an error if the file exists or cannot be created.
    pub fn open(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().create_new(true).append(true).open(path)?;
        let state = State { runs: Vec::new(), file: Some(file) };
        Ok(Self { state: Arc::new(Mutex::new(state)) })
    }

    /// Records the start of a run and returns its index.
    #[must_use]
    pub fn start(&self, run: Run) -> usize {
        let mut state = self.lock();
        let place = state.runs.len();
        state.runs.push(run.clone());
        state.append(&Entry::Start { place, run });
        place
    }

    /// Applies `change` to the run at index `place` and records the progress.
    pub fn update(&self, place: usize, change: impl FnOnce(&mut Run)) {
        let mut state = self.lock();
        let run = &mut state.runs[place];
        change(run);
        let entry = Entry::Change {
            place,
            completion_tokens: run.completion_tokens,
            finished: run.finished,
        };
        state.append(&entry);
    }

    /// Returns a copy of all runs.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reads the runs of a journal file and skips incomplete lines.
///
/// A crash of the writer can leave an incomplete last line.
///
/// # Errors
///
/// Returns an error if the file cannot be read.
pub fn read(path: &Path) -> io::Result<Vec<Run>> {
    let mut runs: Vec<Run> = Vec::new();
    for text in fs::read_to_string(path)?.lines() {
        match serde_json::from_str(text) {
            Ok(Entry::Start { run, .. }) => runs.push(run),
            Ok(Entry::Change { place, completion_tokens, finished }) => {
                if let Some(run) = runs.get_mut(place) {
                    run.completion_tokens = completion_tokens;
                    run.finished = finished;
                }
            }
            Err(_incomplete) => {}
        }
    }
    Ok(runs)
}
