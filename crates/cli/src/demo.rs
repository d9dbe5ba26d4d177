//! Command `lacewing demo`: runs the system in one process, with example requests or to serve.

use std::process::ExitCode;

use conf::log::{Format, Level, Log};
use ntex::client::Client;
use ntex::http::Method;
use ntex::time::{Millis, sleep};
use rig::client;
use rig::demo::{Access, Demo};
use rig::platform::Budget;
use serde_json::{Value, json};

use crate::args;

/// Most requests sent on the small budget until one is refused as exhausted.
const MAX_REFUSAL_ATTEMPTS: usize = 10;
/// Wait after which the bills of a request are folded into the budget row.
const FOLD_DELAY: Millis = Millis(1_500);

/// Starts the demo, serves or sends the example requests, and stops the demo.
pub async fn run(options: &args::Demo) -> ExitCode {
    let log = daemon::instance::logger(&Log { level: Level::Error, format: Format::Text });
    let demo = match rig::demo::spawn(&log).await {
        Ok(demo) => demo,
        Err(error) => {
            eprintln!("lacewing: {error}");
            return ExitCode::FAILURE;
        }
    };
    let result = if options.serve {
        serve(&demo, options.json).await;
        Ok(())
    } else {
        run_example(&demo.access).await
    };
    demo.stop().await;
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lacewing: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(demo: &Demo, json: bool) {
    let line = serde_json::to_string(&demo.access).expect("addresses and keys serialize to JSON");
    if json {
        println!("{line}");
    } else {
        println!("serving callers on {}", demo.access.addresses.join(", "));
        println!("{line}");
    }
    if let Err(error) = daemon::signal::wait_for_stop().await {
        eprintln!("lacewing: cannot wait for signals: {error}");
    }
}

/// Sends a streamed request, prints the budgets, and exhausts a small budget.
async fn run_example(access: &Access) -> Result<(), client::Error> {
    let http = client::open(8).await;
    println!("instances: {}", access.addresses.join(", "));
    print_stream(&http, access).await?;
    sleep(FOLD_DELAY).await;
    print_budgets(&http, access).await?;
    exhaust_small_budget(&http, access).await
}

fn chat_url(access: &Access) -> String {
    format!("http://{}/v1/chat/completions", access.addresses[0])
}

async fn print_stream(http: &Client, access: &Access) -> Result<(), client::Error> {
    let body = json!({
        "model": access.model, "stream": true, "stream_options": {"include_usage": true},
        "messages": [{"role": "user", "content": "Tell me about parcels. tokens=12"}],
    });
    let sent = http.post(chat_url(access)).bearer_auth(&access.key).send_json(&body).await;
    let answer = sent.map_err(|error| client::Error::Http(error.to_string()))?;
    let mut payload = answer.take_payload();
    println!("streamed answer:");
    while let Some(chunk) = payload.recv().await {
        let chunk = chunk.map_err(|error| client::Error::Http(error.to_string()))?;
        print!("{}", String::from_utf8_lossy(&chunk));
    }
    Ok(())
}

async fn print_budgets(http: &Client, access: &Access) -> Result<(), client::Error> {
    let url = access.budgets_url.clone();
    let budgets: Vec<Budget> = client::json(http, Method::GET, url, None, &()).await?;
    println!("{:<12} {:>10} {:>10} {:>10} {:>10}", "budget", "paid", "billed", "held", "left");
    for row in budgets {
        let left = row.paid - row.billed - row.held;
        let Budget { budget, paid, billed, held, .. } = row;
        println!("{budget:<12} {paid:>10} {billed:>10} {held:>10} {left:>10}");
    }
    Ok(())
}

async fn exhaust_small_budget(http: &Client, access: &Access) -> Result<(), client::Error> {
    let body = json!({
        "model": access.model, "max_tokens": 16,
        "messages": [{"role": "user", "content": "short"}],
    });
    for number in 1..=MAX_REFUSAL_ATTEMPTS {
        let key = Some(access.poor_key.as_str());
        let answer: Result<Value, _> =
            client::json(http, Method::POST, chat_url(access), key, &body).await;
        match answer {
            Ok(answer) => println!("small budget, request {number}: {}", answer["usage"]),
            Err(client::Error::Status(status, body)) => {
                println!("small budget, request {number}: refused with {status}: {body}");
                return Ok(());
            }
            Err(error) => return Err(error),
        }
    }
    Err(client::Error::Http("no request was refused for the small budget".into()))
}
