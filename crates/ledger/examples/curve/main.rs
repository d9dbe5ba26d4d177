//! False refusals against what remains of a budget, beside four baselines.
//!
//! The program drives the real writer of each instance over a table in memory. All ways get the
//! same requests. A refusal is false if the budget still held the bound of the request.

mod way;

use std::collections::VecDeque;

use base::prelude::*;
use ledger::size::Policy;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use way::{Pieces, Split, Way};

/// Simulated time between two steps.
const TICK: Duration = Duration::from_millis(10);
/// Ticks in a second.
const SECOND: u64 = 100;
/// Ticks that a request runs.
const RUN_TICKS: u64 = 100;
/// Upper bound of a request, in tokens; half of it is used on average.
const BOUND: Tokens = 600;
/// Size of a piece for the way with a fixed size, in tokens.
const FIXED_PIECE: Tokens = 4_000;
/// Lower ends of the classes of what remains, in parts per thousand of what was paid.
const CLASSES: [u64; 6] = [500, 200, 100, 50, 20, 0];

/// A request of the common workload.
#[derive(Debug, Clone, Copy)]
struct Request {
    number: u64,
    tick: u64,
    instance: usize,
    used: Tokens,
}

/// A setting of the experiment.
#[derive(Debug, Clone, Copy)]
struct Size {
    name: &'static str,
    instances: usize,
    paid: Tokens,
    per_second: u64,
}

/// Draws requests for 1.2 times the budget, unequally spread over the instances.
fn workload(size: Size) -> Vec<Request> {
    let mut rng = StdRng::seed_from_u64(1);
    let count = size.paid * 12 / 10 / (BOUND / 2);
    let ticks = (count * SECOND / size.per_second).max(1);
    let mut draw = |number| Request {
        number,
        tick: rng.random_range(0..ticks),
        instance: rng.random_range(0..size.instances).min(rng.random_range(0..size.instances)),
        used: rng.random_range(0..=BOUND),
    };
    let mut requests: Vec<Request> = (0..count).map(&mut draw).collect();
    requests.sort_by_key(|request| request.tick);
    requests
}

/// Requests and false refusals in one class of what remains.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    requests: u64,
    refused_falsely: u64,
}

/// What came of one way.
#[derive(Debug, Default)]
struct Outcome {
    classes: [Count; CLASSES.len()],
    spent: Tokens,
    seconds: u64,
}

impl Outcome {
    fn decide(&mut self, paid: Tokens, request: Request, is_let_in: bool) {
        // What runs now is known to cost what it will use.
        let remains = paid - self.spent;
        let share = remains * 1_000 / paid;
        let class = CLASSES.iter().position(|from| share >= *from).unwrap_or_default();
        self.classes[class].requests += 1;
        if is_let_in {
            self.spent += request.used;
        } else {
            self.classes[class].refused_falsely += u64::from(remains >= BOUND);
        }
    }

    fn show(&self, name: &str) {
        print!("  {name:<24}");
        for count in &self.classes {
            let share = count.refused_falsely * 10_000 / count.requests.max(1);
            print!(" {:>3}.{:02}%", share / 100, share % 100);
        }
        println!("  spent {}", self.spent);
    }
}

fn run(way: &mut dyn Way, paid: Tokens, requests: &[Request]) -> Outcome {
    let mut outcome = Outcome::default();
    let mut running: VecDeque<(u64, Request)> = VecDeque::new();
    let mut waiting = requests.iter().copied().peekable();
    let end = requests.last().map_or(0, |request| request.tick) + 2 * RUN_TICKS;
    for tick in 0..end {
        while let Some(request) = waiting.next_if(|request| request.tick <= tick) {
            way.ask(request);
        }
        for (request, is_let_in) in way.tick() {
            outcome.decide(paid, request, is_let_in);
            if is_let_in {
                running.push_back((tick + RUN_TICKS, request));
            }
        }
        while running.front().is_some_and(|(end, _)| *end <= tick) {
            if let Some((_, request)) = running.pop_front() {
                way.end(request);
            }
        }
    }
    outcome.seconds = end / SECOND;
    outcome
}

/// Returns the part of the budget that each instance will have asked for.
fn hindsight(size: Size, requests: &[Request]) -> Vec<Tokens> {
    let total: Tokens = requests.iter().map(|request| request.used).sum();
    let mut parts = vec![0; size.instances];
    for request in requests {
        parts[request.instance] += request.used;
    }
    parts.iter().map(|part| size.paid * part / total).collect()
}

fn compare(size: Size) {
    let Size { name, instances, paid, per_second } = size;
    let requests = workload(size);
    println!("{name}: {instances} instances, {paid} tokens, {per_second} requests/s");
    println!("  while this remains:       >=50%  20-50%  10-20%   5-10%    2-5%     <2%");
    for divisor in [4, 8, 16] {
        let policy = Policy { divisor, ..Policy::default() };
        let mut pieces = Pieces::open(instances, paid, policy, true);
        let outcome = run(&mut pieces, paid, &requests);
        outcome.show(&format!("pieces, divisor {divisor}"));
        let (commits, _) = pieces.platform.write_counts();
        println!("    {:.1} transactions/s", rate(commits, outcome.seconds));
    }
    let mut pieces = Pieces::open(instances, paid, Policy::default(), false);
    run(&mut pieces, paid, &requests).show("divisor 8, no recall");
    let equal = vec![paid / instances as u64; instances];
    let ways = [
        ("asks the table", vec![paid], 0, 0),
        ("fixed equal split", equal, 0, 0),
        ("fixed piece size", vec![0; instances], paid, FIXED_PIECE),
        ("best split in hindsight", hindsight(size, &requests), 0, 0),
    ];
    for (name, left, pool, piece) in ways {
        let mut way = Split { left, pool, piece, decided: Vec::new() };
        run(&mut way, paid, &requests).show(name);
    }
}

#[expect(clippy::cast_precision_loss, reason = "rates are shown with one digit")]
fn rate(count: u64, seconds: u64) -> f64 {
    count as f64 / seconds.max(1) as f64
}

/// Shows how the writes to the table grow with the requests.
fn slope(instances: usize) {
    println!("writes to the table, {instances} instances, a budget far from its end:");
    for per_second in [50, 100, 200, 400, 800] {
        let size = Size { name: "", instances, paid: per_second * 5_000, per_second };
        let requests = workload(size);
        let paid = size.paid * 50;
        let mut pieces = Pieces::open(instances, paid, Policy::default(), true);
        let outcome = run(&mut pieces, paid, &requests);
        let (commits, rows) = pieces.platform.write_counts();
        let (commits, rows) = (rate(commits, outcome.seconds), rate(rows, outcome.seconds));
        println!("  {per_second:>4} requests/s: {commits:>6.1} transactions/s, {rows:>6.1} rows/s");
    }
}

fn main() {
    let size = |name, instances, paid, per_second| Size { name, instances, paid, per_second };
    compare(size("Quito, small budget", 3, 300_000, 20));
    compare(size("Quito, large budget", 3, 3_000_000, 100));
    compare(size("Addis, small budget", 8, 300_000, 20));
    compare(size("Addis, large budget", 8, 3_000_000, 100));
    slope(3);
    slope(8);
}
