//! Rate of false refusals by remaining part of a budget, compared with four baselines.
//!
//! The program drives the production writer of each instance over a table in memory. All strategies
//! get the same requests. A refusal is false if the budget still had the bound of the request left.

mod strategy;

use std::collections::VecDeque;

use base::prelude::*;
use ledger::size::Policy;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use strategy::{Pieces, Split, Strategy};

/// Simulated time of one step.
const TICK: Duration = Duration::from_millis(10);
/// Number of [`TICK`]s in a simulated second.
const TICKS_PER_SECOND: u64 = 100;
/// Ticks from the admission of a request to its settlement.
const REQUEST_TICKS: u64 = 100;
/// Upper bound of a request, in tokens; half of it is used on average.
const BOUND: Tokens = 600;
/// Piece size of the strategy with fixed pieces, in tokens.
const FIXED_PIECE_TOKENS: Tokens = 4_000;
/// Lower ends of the classes of the remaining budget, in thousandths of the paid tokens.
const CLASS_FLOORS: [u64; 6] = [500, 200, 100, 50, 20, 0];

/// Request of the workload that all strategies get.
#[derive(Debug, Clone, Copy)]
struct Request {
    number: u64,
    tick: u64,
    instance: usize,
    used: Tokens,
}

/// Fleet, budget and load of one comparison.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    name: &'static str,
    instances: usize,
    paid: Tokens,
    requests_per_second: u64,
}

/// Draws requests for 1.2 times the budget, spread unequally over the instances.
fn workload(scenario: Scenario) -> Vec<Request> {
    let mut rng = StdRng::seed_from_u64(1);
    let count = scenario.paid * 12 / 10 / (BOUND / 2);
    let ticks = (count * TICKS_PER_SECOND / scenario.requests_per_second).max(1);
    let mut draw = |number| Request {
        number,
        tick: rng.random_range(0..ticks),
        instance: rng
            .random_range(0..scenario.instances)
            .min(rng.random_range(0..scenario.instances)),
        used: rng.random_range(0..=BOUND),
    };
    let mut requests: Vec<Request> = (0..count).map(&mut draw).collect();
    requests.sort_by_key(|request| request.tick);
    requests
}

/// Requests and false refusals in one class of the remaining budget.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    requests: u64,
    false_refusals: u64,
}

/// Decisions and spending of one strategy.
#[derive(Debug, Default)]
struct Outcome {
    classes: [Count; CLASS_FLOORS.len()],
    spent: Tokens,
    seconds: u64,
}

impl Outcome {
    fn record(&mut self, paid: Tokens, request: Request, is_admitted: bool) {
        // The simulation knows what an admitted request will use and counts it at once.
        let remaining = paid - self.spent;
        let share = remaining * 1_000 / paid;
        let class = CLASS_FLOORS.iter().position(|from| share >= *from).unwrap_or_default();
        self.classes[class].requests += 1;
        if is_admitted {
            self.spent += request.used;
        } else {
            self.classes[class].false_refusals += u64::from(remaining >= BOUND);
        }
    }

    fn print(&self, name: &str) {
        print!("  {name:<24}");
        for count in &self.classes {
            let share = count.false_refusals * 10_000 / count.requests.max(1);
            print!(" {:>3}.{:02}%", share / 100, share % 100);
        }
        println!("  spent {}", self.spent);
    }
}

fn run(strategy: &mut dyn Strategy, paid: Tokens, requests: &[Request]) -> Outcome {
    let mut outcome = Outcome::default();
    let mut running: VecDeque<(u64, Request)> = VecDeque::new();
    let mut waiting = requests.iter().copied().peekable();
    let end = requests.last().map_or(0, |request| request.tick) + 2 * REQUEST_TICKS;
    for tick in 0..end {
        while let Some(request) = waiting.next_if(|request| request.tick <= tick) {
            strategy.submit(request);
        }
        for (request, is_admitted) in strategy.advance() {
            outcome.record(paid, request, is_admitted);
            if is_admitted {
                running.push_back((tick + REQUEST_TICKS, request));
            }
        }
        while running.front().is_some_and(|(end, _)| *end <= tick) {
            if let Some((_, request)) = running.pop_front() {
                strategy.complete(request);
            }
        }
    }
    outcome.seconds = end / TICKS_PER_SECOND;
    outcome
}

/// Splits the budget in proportion to what each instance will use.
fn split_in_hindsight(scenario: Scenario, requests: &[Request]) -> Vec<Tokens> {
    let total: Tokens = requests.iter().map(|request| request.used).sum();
    let mut parts = vec![0; scenario.instances];
    for request in requests {
        parts[request.instance] += request.used;
    }
    parts.iter().map(|part| scenario.paid * part / total).collect()
}

fn compare(scenario: Scenario) {
    let Scenario { name, instances, paid, requests_per_second } = scenario;
    let requests = workload(scenario);
    println!("{name}: {instances} instances, {paid} tokens, {requests_per_second} requests/s");
    println!("  while this remains:       >=50%  20-50%  10-20%   5-10%    2-5%     <2%");
    for divisor in [4, 8, 16] {
        let policy = Policy { divisor, ..Policy::default() };
        let mut pieces = Pieces::open(instances, paid, policy, true);
        let outcome = run(&mut pieces, paid, &requests);
        outcome.print(&format!("pieces, divisor {divisor}"));
        let (commits, _) = pieces.platform.write_counts();
        println!("    {:.1} transactions/s", rate(commits, outcome.seconds));
    }
    let mut pieces = Pieces::open(instances, paid, Policy::default(), false);
    run(&mut pieces, paid, &requests).print("divisor 8, no recall");
    let equal = vec![paid / instances as u64; instances];
    let strategies = [
        ("asks the table", vec![paid], 0, 0),
        ("fixed equal split", equal, 0, 0),
        ("fixed piece size", vec![0; instances], paid, FIXED_PIECE_TOKENS),
        ("best split in hindsight", split_in_hindsight(scenario, &requests), 0, 0),
    ];
    for (name, remaining, pool, piece_tokens) in strategies {
        let mut strategy = Split { remaining, pool, piece_tokens, decided: Vec::new() };
        run(&mut strategy, paid, &requests).print(name);
    }
}

#[expect(clippy::cast_precision_loss, reason = "rates are shown with one digit")]
fn rate(count: u64, seconds: u64) -> f64 {
    count as f64 / seconds.max(1) as f64
}

/// Prints how the writes to the table grow with the request rate.
fn measure_write_rate(instances: usize) {
    println!("writes to the table, {instances} instances, a budget far from its end:");
    for requests_per_second in [50, 100, 200, 400, 800] {
        let scenario = Scenario {
            name: "",
            instances,
            paid: requests_per_second * 5_000,
            requests_per_second,
        };
        let requests = workload(scenario);
        let paid = scenario.paid * 50;
        let mut pieces = Pieces::open(instances, paid, Policy::default(), true);
        let outcome = run(&mut pieces, paid, &requests);
        let (commits, rows) = pieces.platform.write_counts();
        let (commits, rows) = (rate(commits, outcome.seconds), rate(rows, outcome.seconds));
        println!(
            "  {requests_per_second:>4} requests/s: {commits:>6.1} transactions/s, \
             {rows:>6.1} rows/s"
        );
    }
}

fn main() {
    let scenario = |name, instances, paid, requests_per_second| Scenario {
        name,
        instances,
        paid,
        requests_per_second,
    };
    compare(scenario("Quito, small budget", 3, 300_000, 20));
    compare(scenario("Quito, large budget", 3, 3_000_000, 100));
    compare(scenario("Addis, small budget", 8, 300_000, 20));
    compare(scenario("Addis, large budget", 8, 3_000_000, 100));
    measure_write_rate(3);
    measure_write_rate(8);
}
