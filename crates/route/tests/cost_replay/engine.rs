//! Model of an upstream that prefills prompts in chunks between the steps of a batch.

use std::collections::BTreeMap;

/// Prompt tokens that are prefilled between two steps at most.
const CHUNK_TOKENS: f64 = 1_024.0;
/// Tokens that are prefilled in a second at speed 1.
const TOKENS_PER_SECOND: f64 = 49_600.0;
/// Time of a step in an empty batch, in seconds.
const STEP_SECONDS: f64 = 0.005_18;
/// Time that each running request adds to a step, in seconds.
const STEP_SECONDS_PER_REQUEST: f64 = 0.000_036_7;
/// Requests that run at once.
pub const SLOTS: usize = 64;
/// Tokens of running requests and cached parts together.
const MEMORY_TOKENS: f64 = 402_187.0;
/// Tokens in one event of a stream.
pub const STRIDE: u32 = 5;
/// Part of the machines that other work slows down at any time.
const SLOW_PART: f64 = 0.15;
/// Times on such a machine relative to the usual ones.
const SLOW_FACTOR: f64 = 2.5;
/// Time after which other machines are slow, in seconds.
const SLOW_PERIOD: f64 = 0.6;

/// A request as an upstream sees it.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    pub id: usize,
    pub rank: u8,
    pub shared: u64,
    pub shared_tokens: f64,
    pub own_tokens: f64,
    pub events: u32,
}

#[derive(Debug, Clone, Copy)]
struct Run {
    job: Job,
    prefill_left: f64,
    tokens_left: u32,
    memory: f64,
}

/// What a step has brought to a request.
#[derive(Debug, Clone, Copy)]
pub enum Output {
    Event(usize),
    End(usize),
}

#[derive(Debug)]
pub struct Engine {
    speed: f64,
    is_shared: bool,
    seed: u64,
    waiting: Vec<Job>,
    running: Vec<Run>,
    /// Cached parts with their tokens and last use.
    cached: BTreeMap<u64, (f64, f64)>,
    /// End of the present step; `None` while there is no work.
    pub step_ends: Option<f64>,
    /// Tokens that the present step prefills for the run with this id.
    chunk: Option<(usize, f64)>,
}

impl Engine {
    pub fn open(speed: f64, is_shared: bool, salt: u64) -> Self {
        Self {
            speed,
            is_shared,
            seed: salt,
            waiting: Vec::new(),
            running: Vec::new(),
            cached: BTreeMap::new(),
            step_ends: None,
            chunk: None,
        }
    }

    /// Returns the time of work at `now` relative to that at speed 1.
    pub fn factor(&self, now: f64) -> f64 {
        self.slowness(now) / self.speed
    }

    /// Returns the present slowness, which does not depend on the speed.
    pub fn slowness(&self, now: f64) -> f64 {
        let offset = (self.seed % 1_000) as f64 / 1_000.0 * SLOW_PERIOD;
        let period = ((now + offset) / SLOW_PERIOD) as u64;
        let draw = route::prefix::mix(route::prefix::mix(self.seed) ^ period) >> 40;
        let is_slow = self.is_shared && (draw as f64) < SLOW_PART * (1_u64 << 24) as f64;
        if is_slow { SLOW_FACTOR } else { 1.0 }
    }

    pub fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.waiting.len() as u32)
    }

    pub fn is_cached(&self, shared: u64) -> bool {
        self.cached.contains_key(&shared)
    }

    /// Returns the true time to the first event of a request that would arrive now.
    pub fn true_seconds(&self, job: &Job, now: f64) -> f64 {
        let ahead = |rank: u8| rank <= job.rank;
        let queued: f64 = self
            .running
            .iter()
            .filter(|run| ahead(run.job.rank))
            .map(|run| run.prefill_left)
            .chain(self.waiting.iter().map(|job| job.own_tokens + job.shared_tokens))
            .sum();
        let shared = if self.is_cached(job.shared) { 0.0 } else { job.shared_tokens };
        let tokens = queued + shared + job.own_tokens;
        let steps = (tokens / CHUNK_TOKENS).ceil() + f64::from(STRIDE);
        let full = self.running.len() + self.waiting.len() + 1 > SLOTS;
        (tokens / TOKENS_PER_SECOND + steps * STEP_SECONDS) * self.factor(now)
            + if full { 1.0 } else { 0.0 }
    }

    pub fn push(&mut self, job: Job, now: f64) {
        self.waiting.push(job);
        if self.step_ends.is_none() {
            self.begin_step(now);
        }
    }

    /// Ends the present step, and begins the next one if there is work.
    pub fn end_step(&mut self, now: f64) -> Vec<Output> {
        let mut outputs = Vec::new();
        if let Some((id, tokens)) = self.chunk.take()
            && let Some(run) = self.running.iter_mut().find(|run| run.job.id == id)
        {
            run.prefill_left -= tokens;
            if run.prefill_left <= 0.5 && run.job.shared_tokens > 0.0 {
                self.cached.insert(run.job.shared, (run.job.shared_tokens, now));
            }
        }
        for run in &mut self.running {
            if run.prefill_left > 0.5 {
                continue;
            }
            run.tokens_left -= 1;
            if run.tokens_left % STRIDE == 0 {
                outputs.push(Output::Event(run.job.id));
            }
            if run.tokens_left == 0 {
                outputs.push(Output::End(run.job.id));
            }
        }
        self.running.retain(|run| run.tokens_left > 0);
        self.step_ends = None;
        if !self.running.is_empty() || !self.waiting.is_empty() {
            self.begin_step(now);
        }
        outputs
    }

    fn begin_step(&mut self, now: f64) {
        self.admit(now);
        let decoding = self.running.iter().filter(|run| run.prefill_left <= 0.5).count();
        let front = self
            .running
            .iter()
            .filter(|run| run.prefill_left > 0.5)
            .min_by_key(|run| (run.job.rank, run.job.id));
        self.chunk = front.map(|run| (run.job.id, run.prefill_left.min(CHUNK_TOKENS)));
        let tokens = self.chunk.map_or(0.0, |(_, tokens)| tokens);
        let seconds =
            STEP_SECONDS + STEP_SECONDS_PER_REQUEST * decoding as f64 + tokens / TOKENS_PER_SECOND;
        self.step_ends = Some(now + seconds * self.factor(now));
    }

    fn admit(&mut self, now: f64) {
        self.waiting.sort_by_key(|job| (job.rank, job.id));
        while self.running.len() < SLOTS && !self.waiting.is_empty() {
            let job = self.waiting[0];
            let is_cached = self.is_cached(job.shared);
            let shared = if is_cached { 0.0 } else { job.shared_tokens };
            let output = f64::from(job.events * STRIDE);
            let memory = shared + job.own_tokens + output;
            let used: f64 = self.running.iter().map(|run| run.memory).sum();
            if used + memory > MEMORY_TOKENS && !self.running.is_empty() {
                break;
            }
            if let Some((_, used_at)) = self.cached.get_mut(&job.shared) {
                *used_at = now;
            }
            self.evict(MEMORY_TOKENS - used - memory);
            self.waiting.remove(0);
            self.running.push(Run {
                job,
                prefill_left: shared + job.own_tokens,
                tokens_left: job.events * STRIDE,
                memory,
            });
        }
    }

    /// Evicts the parts that were not used for the longest time until the rest fits.
    fn evict(&mut self, room: f64) {
        while self.cached.values().map(|(tokens, _)| tokens).sum::<f64>() > room.max(0.0) {
            let oldest = self.cached.iter().min_by(|one, other| one.1.1.total_cmp(&other.1.1));
            let Some(oldest) = oldest.map(|(id, _)| *id) else { return };
            self.cached.remove(&oldest);
        }
    }
}
