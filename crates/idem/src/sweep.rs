//! Deletion of expired claim rows, page by page.

use store::{Pending, Row, Table, Txn};

use crate::row::{CLAIMS, Claim};

/// Most rows that one scan of the table returns.
const PAGE_ROWS: usize = 200;
/// Time between the expiry of a row and its deletion, in milliseconds.
const EXPIRY_MARGIN_MS: u64 = 60_000;

/// Reads the page of claim rows after the key `after`; empty reads the first page.
pub fn read_page(table: &dyn Table, after: String) -> Pending<'_, Vec<Row>> {
    table.scan(CLAIMS.into(), after, PAGE_ROWS)
}

/// Returns the key after which the next page starts, empty after the last page.
///
/// # Examples
///
/// ```
/// assert_eq!(idem::sweep::next_cursor(&[]), "");
/// ```
#[must_use]
pub fn next_cursor(rows: &[Row]) -> String {
    let last = (rows.len() == PAGE_ROWS).then(|| rows.last()).flatten();
    last.map(|row| row.key.clone()).unwrap_or_default()
}

/// Composes the transaction that deletes the expired rows; `None` if no row has expired.
///
/// A row that changes before the commit makes the transaction fail.
///
/// # Examples
///
/// ```
/// assert!(idem::sweep::compose_deletion(&[], 0).is_none());
/// ```
#[must_use]
pub fn compose_deletion(rows: &[Row], wall_ms: u64) -> Option<Txn> {
    let mut txn = Txn::default();
    for row in rows {
        let claim = serde_json::from_value::<Claim>(row.value.clone()).ok();
        if claim.is_some_and(|claim| claim.until + EXPIRY_MARGIN_MS < wall_ms) {
            txn.check(&row.key, row.revision);
            txn.delete(&row.key);
        }
    }
    (!txn.writes.is_empty()).then_some(txn)
}
