//! Client of the platform: transactional table, object store and instance list.
//!
//! The platform's services are reached through the traits [`Table`], [`Objects`] and
//! [`Instances`]. [`remote::Platform`] calls the platform over HTTP; [`memory::Platform`]
//! keeps all data in the process, for tests, stand-ins and the demo.

pub mod error;
pub mod memory;
pub mod remote;
pub mod row;

use std::time::Duration;

use futures::FutureExt;
use futures::future::LocalBoxFuture;

pub use crate::error::Error;
pub use crate::row::{Change, Check, Commit, Listing, Row, Txn, Write};

/// Future of one call to the platform; it need not be `Send`.
pub type Pending<'a, T> = LocalBoxFuture<'a, Result<T, Error>>;

/// Table of rows with multi-row transactions.
pub trait Table {
    /// Reads rows by key; keys without a row are left out.
    fn get(&self, keys: Vec<String>) -> Pending<'_, Vec<Row>>;

    /// Reads up to `limit` rows whose keys start with `prefix`, in key order.
    ///
    /// Only rows after the key `after` are read, such as the last key of the previous page; empty
    /// starts at the first row.
    fn scan(&self, prefix: String, after: String, limit: usize) -> Pending<'_, Vec<Row>>;

    /// Applies all writes of a transaction if all its checks hold, and none otherwise.
    ///
    /// After an error, it is unknown whether the transaction was applied.
    fn commit(&self, txn: Txn) -> Pending<'_, Commit>;

    /// Waits until a row of a table may have changed since the last call, `longest` at most.
    ///
    /// `prefix` is the first segment of the rows' keys. The first call returns
    /// [`Change::Unknown`] at once, so that changes during the next read are not missed. Tables
    /// without a feed wait for the whole time, and return the same. A call that fails has not taken
    /// anything from the next one.
    fn wait_change(&self, prefix: String, longest: Duration) -> Pending<'_, Change> {
        drop(prefix);
        async move {
            tokio::time::sleep(longest).await;
            Ok(Change::Unknown)
        }
        .boxed_local()
    }

    /// Returns a time that the table's own steady clock has certainly reached.
    ///
    /// `None` if the table reports no time, or has not reported one yet.
    fn now(&self) -> Option<Duration> {
        None
    }

    /// Returns a number that rises when the table is restored from a copy.
    ///
    /// A restore loses the writes since the copy was made, and their revisions are given out again.
    /// `None` if the table has not answered yet; a table that is never restored returns 0.
    fn era(&self) -> Option<u64> {
        Some(0)
    }
}

/// Object store of the platform, meant for objects that do not change.
pub trait Objects {
    /// Stores an object under a name and replaces an earlier one.
    fn put(&self, name: String, body: Vec<u8>) -> Pending<'_, ()>;

    /// Reads an object; `None` if no object has the name.
    fn fetch(&self, name: String) -> Pending<'_, Option<Vec<u8>>>;
}

/// The platform's list of live and leaving instances, which may be out of date.
pub trait Instances {
    /// Reads the list as the platform reports it now.
    fn list(&self) -> Pending<'_, Vec<Listing>>;
}
