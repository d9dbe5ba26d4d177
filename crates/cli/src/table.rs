//! Renders answers of the admin API as text for people.

use std::fmt::Write;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::Value;

/// Returns a string without its quotes, and any other value as JSON.
///
/// # Examples
///
/// ```
/// assert_eq!(cli::table::text(&"a".into()), "a");
/// assert_eq!(cli::table::text(&7.into()), "7");
/// ```
#[must_use]
pub fn text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

/// Renders a table whose columns are as wide as their widest cell.
///
/// # Examples
///
/// ```
/// let table = cli::table::columns(&["a", "long"], &[vec!["xyz".into(), "1".into()]]);
/// assert_eq!(table, "a    long\nxyz  1\n");
/// ```
#[must_use]
pub fn columns(titles: &[&str], rows: &[Vec<String>]) -> String {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column)).map(|cell| cell.chars().count());
        cells.max().unwrap_or_default().max(titles[column].chars().count())
    };
    let widths: Vec<usize> = (0..titles.len()).map(width).collect();
    let titles = titles.iter().map(|title| (*title).to_owned()).collect();
    let mut output = String::new();
    for row in std::iter::once(&titles).chain(rows) {
        let cells: Vec<String> =
            row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
        output.push_str(cells.join("  ").trim_end());
        output.push('\n');
    }
    output
}

fn items(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

/// Renders a plan: its changes, its effects and the command to confirm it.
#[must_use]
pub fn plan(plan: &Value) -> String {
    let mut output = format!("plan {} on version {}\n", text(&plan["id"]), plan["base"]);
    for change in items(&plan["changes"]) {
        let (before, after) = (&change["before"], &change["after"]);
        writeln!(output, "  {}: {before} -> {after}", text(&change["path"])).unwrap_or_default();
    }
    for effect in items(&plan["effects"]) {
        writeln!(output, "  effect: {}", text(effect)).unwrap_or_default();
    }
    writeln!(output, "confirm with: lacewing confirm {}", text(&plan["id"])).unwrap_or_default();
    output
}

/// Renders a table of all members, or of the called instance if it knows none.
#[must_use]
pub fn status(status: &Value) -> String {
    let members = items(&status["members"]);
    if members.is_empty() {
        let names = ["instance", "address", "domain", "version"];
        let row = names.map(|name| text(&status[name])).to_vec();
        return columns(&names, &[row]);
    }
    let titles = ["instance", "address", "domain", "state", "version", "in force for", "requests"];
    let row = |member: &Value| {
        vec![
            text(&member["instance"]),
            text(&member["address"]),
            text(&member["domain"]),
            text(&member["state"]),
            text(&member["version"]),
            age(member["since_ms"].as_u64().unwrap_or_default()),
            text(&member["load"]),
        ]
    };
    columns(&titles, &members.iter().map(row).collect::<Vec<_>>())
}

/// Returns the time since `since`, which is in milliseconds since the Unix epoch.
///
/// Returns `-` if `since` is 0.
fn age(since: u64) -> String {
    if since == 0 {
        return "-".into();
    }
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let seconds = now.saturating_sub(Duration::from_millis(since)).as_secs();
    match seconds {
        0..60 => format!("{seconds} s"),
        60..3_600 => format!("{} min", seconds / 60),
        3_600..172_800 => format!("{} h", seconds / 3_600),
        _ => format!("{} d", seconds / 86_400),
    }
}

/// Renders a table of budgets with their tokens.
#[must_use]
pub fn accounts(budgets: &[Value]) -> String {
    let fields = ["paid", "billed", "held", "aside"];
    let row = |budget: &Value| {
        let state = &budget["state"];
        let mut cells = vec![text(&budget["budget"]), text(&state["account"])];
        cells.extend(fields.map(|field| state[field].as_u64().unwrap_or_default().to_string()));
        cells
    };
    let titles = ["budget", "account", "paid", "billed", "held", "aside"];
    columns(&titles, &budgets.iter().map(row).collect::<Vec<_>>())
}

/// Renders a table of audit entries, with the changed paths of each.
#[must_use]
pub fn audit(entries: &[Value]) -> String {
    let row = |entry: &Value| {
        let paths: Vec<String> =
            items(&entry["changes"]).iter().map(|change| text(&change["path"])).collect();
        vec![
            text(&entry["version"]),
            age(entry["at"].as_u64().unwrap_or_default()),
            text(&entry["planned_by"]),
            text(&entry["confirmed_by"]),
            paths.join(" "),
        ]
    };
    let titles = ["version", "age", "planned by", "confirmed by", "changed"];
    columns(&titles, &entries.iter().map(row).collect::<Vec<_>>())
}

/// Renders an error with all its reasons, and the fresh plan if there is one.
#[must_use]
pub fn problem(code: u16, answer: &Value) -> String {
    let error = &answer["error"];
    let reasons = items(&error["reasons"]);
    let mut output = if reasons.is_empty() {
        let message = error["message"].as_str().unwrap_or("no explanation");
        format!("lacewing: {message} (status {code})\n")
    } else {
        format!("lacewing: refused (status {code}):\n")
    };
    for reason in reasons {
        writeln!(output, "  {}", text(reason)).unwrap_or_default();
    }
    if answer["plan"].is_object() {
        output.push_str("a fresh plan was made:\n");
        output.push_str(&plan(&answer["plan"]));
    }
    output
}
