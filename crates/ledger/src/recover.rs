//! Recovery of the pieces of dead holders.
//!
//! A dead holder is fenced first: its row changes, so that none of its writes can succeed any
//! more. One transaction then settles each of its pieces. Bills of its journal are folded, and
//! requests that were recorded but not billed are billed at their bound. Requests may also have
//! run whose records were lost with the process. If the holder certainly died while its lease was
//! valid, they used at most the exposure that its row states, and that many tokens are set aside.
//! Otherwise the whole rest of the piece is set aside, which covers whatever the holder did, even
//! if it lives.
//!
//! Every step is a compare-and-set on the rows that it changes. Several instances may recover the
//! same holder at once, and a step whose reply was lost may be repeated.

use std::collections::{BTreeMap, BTreeSet};

use base::clock::millis;
use base::id;
use base::prelude::*;
use serde::de::DeserializeOwned;
use store::{Commit, Error, Listing, Row, Table, Txn};

use crate::row::{self, Aside, Bill, Entry, Holder, Journal, Piece, State};

/// Most rows that one call reads.
const PAGE_ROWS: usize = 512;

/// Holder whose pieces have to be recovered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeadHolder {
    /// Holder id: an instance and its incarnation.
    pub holder: String,
    /// Whether the holder certainly died while its lease was valid.
    pub died_in_lease: bool,
}

/// Holders and instances as one instance sees them at one time.
#[derive(Debug)]
pub struct Snapshot<'a> {
    /// Holder rows by holder id.
    pub holders: &'a BTreeMap<String, Holder>,
    /// Instances in the platform's list now.
    pub listed: &'a [Listing],
    /// Ids of all instances that were in the list at some time.
    pub ever_listed: &'a BTreeSet<InstanceId>,
    /// Wall-clock time since the Unix epoch.
    pub wall: Duration,
    /// Largest difference between the wall clocks of two instances.
    pub max_clock_skew: Duration,
}

impl Snapshot<'_> {
    /// Returns the holders whose pieces have to be recovered.
    ///
    /// A holder is dead if a newer incarnation of its instance has opened a holder, or if its
    /// instance has left the platform's list and its lease has lapsed. A holder that only stopped
    /// renewing its lease keeps its pieces, since it may spend them behind a network partition.
    /// A fenced holder is returned until its recovery closes it.
    ///
    /// Only a newer incarnation proves by when the older one had ended. An instance that left the
    /// list may still run behind a partition, so the end of its holder is unknown.
    #[must_use]
    pub fn dead_holders(&self) -> Vec<DeadHolder> {
        let pending = self.holders.iter().filter_map(|(id, holder)| {
            let replaced_at = self.replaced_at(id);
            let is_dead = match holder.state {
                State::Open => replaced_at.is_some() || self.is_unlisted_and_lapsed(id, holder),
                State::Fenced => true,
                State::Closed => false,
            };
            let max_clock_skew = millis(self.max_clock_skew);
            let died_in_lease = replaced_at
                .is_some_and(|at| at.saturating_add(max_clock_skew) < holder.lease_until);
            is_dead.then(|| DeadHolder { holder: id.clone(), died_in_lease })
        });
        pending.collect()
    }

    fn is_unlisted_and_lapsed(&self, id: &str, holder: &Holder) -> bool {
        let instance = id::instance_of(id);
        let listed = self.listed.iter().any(|listing| listing.instance == instance);
        let lapsed =
            millis(self.wall) > holder.lease_until.saturating_add(millis(self.max_clock_skew));
        self.ever_listed.contains(instance) && !listed && lapsed
    }

    /// Returns when the holder's next newer incarnation started, in ms since the Unix epoch.
    fn replaced_at(&self, holder: &str) -> Option<u64> {
        let instance = id::instance_of(holder);
        let own = id::incarnation_of(holder);
        let others = self.holders.keys().filter(|other| id::instance_of(other) == instance);
        others.map(|other| id::incarnation_of(other)).filter(|other| *other > own).min()
    }
}

/// Reads the rows of all holders and returns them by holder id.
///
/// # Errors
///
/// Returns an error if the table cannot be reached or holds a malformed row.
pub async fn holders(table: &dyn Table) -> Result<BTreeMap<String, Holder>, Error> {
    let rows = scan(table, row::HOLDERS).await?;
    let parsed = rows.iter().map(|found| {
        let id = found.key.strip_prefix(row::HOLDERS).unwrap_or_default();
        Ok((id.to_owned(), parse(found)?))
    });
    parsed.collect()
}

/// Fences a dead holder and settles all its pieces.
///
/// # Errors
///
/// Returns an error if the table cannot be reached or holds a malformed row; calling again
/// continues the recovery.
pub async fn recover(table: &dyn Table, dead: &DeadHolder, wall: Duration) -> Result<(), Error> {
    let holder = dead.holder.as_str();
    let Some(exposed) = fence(table, holder).await? else { return Ok(()) };
    let max_exposure = dead.died_in_lease.then_some(exposed);
    let recovery = Recovery::read(table, holder, max_exposure).await?;
    let prefix = row::piece_key(holder, "");
    for piece in scan(table, &prefix).await? {
        let budget = piece.key.strip_prefix(&prefix).unwrap_or_default();
        settle(table, &recovery, budget, wall).await?;
    }
    close(table, holder).await
}

/// Changes the holder's row so that the holder can never write again.
///
/// Returns the exposure that the row states, or `None` if there is nothing to recover.
async fn fence(table: &dyn Table, holder: &str) -> Result<Option<Tokens>, Error> {
    let key = row::holder_key(holder);
    loop {
        let Some(found) = read(table, &key).await? else { return Ok(None) };
        let state: Holder = parse(&found)?;
        match state.state {
            State::Open => {}
            State::Fenced => return Ok(Some(state.exposed)),
            State::Closed => return Ok(None),
        }
        let exposed = state.exposed;
        let mut txn = Txn::default();
        txn.check(&key, found.revision);
        txn.put(&key, &Holder { state: State::Fenced, ..state });
        if matches!(table.commit(txn).await?, Commit::Applied(_)) {
            return Ok(Some(exposed));
        }
    }
}

/// Closes a fenced holder whose pieces are all settled.
async fn close(table: &dyn Table, holder: &str) -> Result<(), Error> {
    let key = row::holder_key(holder);
    let Some(found) = read(table, &key).await? else { return Ok(()) };
    let state: Holder = parse(&found)?;
    if state.state == State::Fenced {
        let mut txn = Txn::default();
        txn.check(&key, found.revision);
        txn.put(&key, &Holder { state: State::Closed, ..state });
        // A conflict means that another instance has closed the holder.
        table.commit(txn).await?;
    }
    Ok(())
}

/// Settles one piece; repeats after each conflict until the piece is gone.
async fn settle(
    table: &dyn Table,
    recovery: &Recovery,
    budget: &str,
    wall: Duration,
) -> Result<(), Error> {
    let piece_key = row::piece_key(&recovery.holder, budget);
    let mut parent: Option<String> = None;
    loop {
        let mut keys = vec![piece_key.clone(), row::budget_key(budget)];
        keys.extend(parent.as_deref().map(row::budget_key));
        let rows = table.get(keys).await?;
        let find = |key: &str| rows.iter().find(|found| found.key == key);
        let Some(piece) = find(&piece_key) else { return Ok(()) };
        let Some(own) = find(&row::budget_key(budget)) else { return Ok(()) };
        let current_parent = parse::<row::Budget>(own)?.parent;
        if current_parent != parent {
            parent = current_parent;
            continue;
        }
        let parent_row = parent.as_deref().and_then(|name| find(&row::budget_key(name)));
        let hierarchy: Vec<&Row> = std::iter::once(own).chain(parent_row).collect();
        let txn = recovery.settlement(budget, piece, &hierarchy, wall)?;
        if matches!(table.commit(txn).await?, Commit::Applied(_)) {
            return Ok(());
        }
    }
}

/// Clears tokens that were set aside, of which `used` are now known to be spent.
///
/// The operator states `used` from the upstreams' own records; the rest can be spent again.
///
/// # Errors
///
/// Returns an error if the table cannot be reached or holds a malformed row.
pub async fn clear_aside(
    table: &dyn Table,
    holder: &str,
    budget: &str,
    used: Tokens,
) -> Result<(), Error> {
    let aside_key = row::aside_key(holder, budget);
    loop {
        let Some(found) = read(table, &aside_key).await? else { return Ok(()) };
        let aside: Aside = parse(&found)?;
        let used = used.min(aside.tokens);
        let mut txn = Txn::default();
        txn.check(&aside_key, found.revision);
        txn.delete(&aside_key);
        let mut next = Some(budget.to_owned());
        while let Some(name) = next.take() {
            let key = row::budget_key(&name);
            let Some(found) = read(table, &key).await? else { break };
            let mut budget: row::Budget = parse(&found)?;
            budget.aside -= aside.tokens;
            budget.billed += used;
            next.clone_from(&budget.parent);
            txn.check(&key, found.revision);
            txn.put(&key, &budget);
        }
        if used > 0 {
            let request = format!("aside/{holder}/{budget}");
            let bill = Bill { request, budget: budget.to_owned(), tokens: used };
            let journal = Journal { entries: vec![Entry::Bill(bill)] };
            txn.put(row::cleared_key(holder, budget), &journal);
        }
        if matches!(table.commit(txn).await?, Commit::Applied(_)) {
            return Ok(());
        }
    }
}

/// Fenced holder with the entries of its journal, by budget.
#[derive(Debug)]
struct Recovery {
    holder: String,
    /// Exposure that the holder row states; `None` sets aside the whole rest of each piece.
    max_exposure: Option<Tokens>,
    /// Entries with the number of their transaction.
    entries: BTreeMap<String, Vec<(u64, Entry)>>,
}

impl Recovery {
    async fn read(
        table: &dyn Table,
        holder: &str,
        max_exposure: Option<Tokens>,
    ) -> Result<Self, Error> {
        let prefix = format!("{}{holder}/", row::JOURNAL);
        let mut entries: BTreeMap<String, Vec<(u64, Entry)>> = BTreeMap::new();
        for found in scan(table, &prefix).await? {
            let number = found.key.strip_prefix(&prefix).unwrap_or_default();
            // Rows of an earlier recovery have no transaction number; their pieces are settled.
            let Ok(seq) = u64::from_str_radix(number, 16) else { continue };
            for entry in parse::<Journal>(&found)?.entries {
                entries.entry(entry.budget().to_owned()).or_default().push((seq, entry));
            }
        }
        Ok(Self { holder: holder.to_owned(), max_exposure, entries })
    }

    /// Composes the transaction that settles one piece.
    fn settlement(
        &self,
        budget: &str,
        piece: &Row,
        hierarchy: &[&Row],
        wall: Duration,
    ) -> Result<Txn, Error> {
        let held: Piece = parse(piece)?;
        let bills = self.unbilled(budget);
        let recovered: Tokens = bills.iter().map(|bill| bill.tokens).sum();
        // Reservations and unfolded bills are part of the piece. The limit prevents an underflow
        // below if a malformed row states less.
        let billed = (self.unfolded(budget, held.folded) + recovered).min(held.held);
        let unaccounted = held.held - billed;
        let aside = self
            .max_exposure
            .map_or(unaccounted, |limit| unaccounted.min(row::exposure(limit, held.held)));
        let mut txn = Txn::default();
        txn.check(&piece.key, piece.revision);
        txn.delete(&piece.key);
        for found in hierarchy {
            let mut state: row::Budget = parse(found)?;
            state.held -= held.held;
            state.billed += billed;
            state.aside += aside;
            txn.check(&found.key, found.revision);
            txn.put(&found.key, &state);
        }
        if !bills.is_empty() {
            let entries = bills.into_iter().map(Entry::Bill).collect();
            txn.put(row::recovered_key(&self.holder, budget), &Journal { entries });
        }
        if aside > 0 {
            let aside = Aside { tokens: aside, since: millis(wall) };
            txn.put(row::aside_key(&self.holder, budget), &aside);
        }
        Ok(txn)
    }

    /// Returns the billed tokens that the budget row does not include yet.
    fn unfolded(&self, budget: &str, folded: u64) -> Tokens {
        let entries = self.entries.get(budget).into_iter().flatten();
        let newer = entries.filter(|(seq, _)| *seq > folded);
        let tokens = newer.map(|(_, entry)| match entry {
            Entry::Bill(bill) => bill.tokens,
            Entry::Intent(_) => 0,
        });
        tokens.sum()
    }

    /// Returns bills at the bound for requests that were recorded but not billed.
    fn unbilled(&self, budget: &str) -> Vec<Bill> {
        let mut bounds = BTreeMap::new();
        for (_, entry) in self.entries.get(budget).into_iter().flatten() {
            match entry {
                Entry::Intent(intent) => drop(bounds.insert(&intent.request, intent.bound)),
                Entry::Bill(bill) => drop(bounds.remove(&bill.request)),
            }
        }
        let bill = |(request, tokens): (&String, Tokens)| Bill {
            request: request.clone(),
            budget: budget.to_owned(),
            tokens,
        };
        bounds.into_iter().map(bill).collect()
    }
}

async fn read(table: &dyn Table, key: &str) -> Result<Option<Row>, Error> {
    Ok(table.get(vec![key.to_owned()]).await?.pop())
}

/// Reads all rows with a prefix, page by page.
async fn scan(table: &dyn Table, prefix: &str) -> Result<Vec<Row>, Error> {
    let mut rows: Vec<Row> = Vec::new();
    loop {
        let after = rows.last().map_or_else(String::new, |found| found.key.clone());
        let page = table.scan(prefix.to_owned(), after, PAGE_ROWS).await?;
        let is_last = page.len() < PAGE_ROWS;
        rows.extend(page);
        if is_last {
            return Ok(rows);
        }
    }
}

fn parse<T: DeserializeOwned>(found: &Row) -> Result<T, Error> {
    serde_json::from_value(found.value.clone())
        .map_err(|error| Error::Malformed(format!("row {}: {error}", found.key)))
}
