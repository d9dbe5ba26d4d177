//! What the upstream stand-ins ran.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// One run of a request at an upstream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Upstream that ran it.
    pub upstream: String,
    /// Client account as the request named it.
    pub account: String,
    /// The caller's name for the request.
    pub idempotency_key: String,
    /// The system's id of the request.
    pub request_id: String,
    /// Path that was called.
    pub path: String,
    /// Marker that the caller put into the request.
    #[serde(default)]
    pub marker: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the prompt that were cached.
    #[serde(default)]
    pub cached_tokens: u64,
    /// Tokens generated so far.
    pub completion_tokens: u64,
    /// Whether the run came to its end.
    pub finished: bool,
    /// Start in milliseconds since the Unix epoch.
    #[serde(default)]
    pub started_ms: u64,
}

/// A line of a journal file.
#[derive(Debug, Serialize, Deserialize)]
#[serde(untagged)]
enum Entry {
    /// A run started.
    Start { place: usize, run: Run },
    /// A run went on or ended.
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
        let mut text = serde_json::to_vec(entry).expect("a journal line is plain JSON");
        text.push(b'\n');
        file.write_all(&text).expect("the journal file can be written");
    }
}

/// Runs in the order in which they started.
#[derive(Debug, Clone, Default)]
pub struct Journal {
    state: Arc<Mutex<State>>,
}

impl Journal {
    /// Opens a journal that is written through to a new file, which outlives the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be created.
    pub fn open(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().create_new(true).append(true).open(path)?;
        let state = State { runs: Vec::new(), file: Some(file) };
        Ok(Self { state: Arc::new(Mutex::new(state)) })
    }

    /// Notes the start of a run and returns its place.
    #[must_use]
    pub fn start(&self, run: Run) -> usize {
        let mut state = self.lock();
        let place = state.runs.len();
        state.runs.push(run.clone());
        state.append(&Entry::Start { place, run });
        place
    }

    /// Changes a run.
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

    /// Returns all runs.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reads the runs of a journal file; a line that was torn by a crash is left out.
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
