//! Removal of claim rows that no longer count.

use store::{Pending, Row, Table, Txn};

use crate::row::{CLAIMS, Claim};

/// Rows of one page.
const PAGE_ROWS: usize = 200;
/// Time for which an expired row stays, in milliseconds.
const EXPIRY_MARGIN_MS: u64 = 60_000;

/// Reads the page that follows a key.
pub fn read_page(table: &dyn Table, after: String) -> Pending<'_, Vec<Row>> {
    table.scan(CLAIMS.into(), after, PAGE_ROWS)
}

/// Returns the key after which the next page starts, empty to start anew.
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

/// Returns the transaction that deletes the expired rows, if there are any.
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
