//! In-memory implementation of the platform's services.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use base::clock::{Clock, System};
use futures::FutureExt;
use futures::future::ready;

use crate::{Commit, Listing, Pending, Row, Txn};

/// Copy of all rows, from which the table can be restored.
#[derive(Debug, Clone)]
pub struct Backup {
    rows: BTreeMap<String, Row>,
    revision: u64,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<String, Row>,
    era: u64,
    objects: BTreeMap<String, Vec<u8>>,
    instances: Vec<Listing>,
    revision: u64,
    commits: u64,
    row_writes: u64,
}

/// Table, object store and instance list of one process, shared between threads.
#[derive(Debug)]
pub struct Platform {
    state: Mutex<State>,
    /// Clock of the table.
    clock: Arc<dyn Clock>,
}

impl Default for Platform {
    fn default() -> Self {
        Self::open(Arc::new(System::open()))
    }
}

impl Platform {
    /// Opens a platform without rows whose table reports the monotonic time of `clock`.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::{sync::Arc, time::Duration};
    /// use base::clock::Manual;
    /// use store::{Table, memory::Platform};
    /// let clock = Arc::new(Manual::default());
    /// let platform = Platform::open(clock.clone());
    /// clock.advance(Duration::from_secs(7));
    /// assert_eq!(Table::now(&platform), Some(Duration::from_secs(7)));
    /// ```
    #[must_use]
    pub fn open(clock: Arc<dyn Clock>) -> Self {
        Self { state: Mutex::default(), clock }
    }

    fn lock<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Applies a transaction if all its checks hold.
    ///
    /// # Examples
    ///
    /// ```
    /// use store::{Commit, Txn, memory::Platform};
    /// let platform = Platform::default();
    /// let mut txn = Txn::default();
    /// txn.check("budget/a", 0);
    /// txn.put("budget/a", &7);
    /// assert_eq!(platform.apply(&txn), Commit::Applied(1));
    /// assert!(matches!(platform.apply(&txn), Commit::Conflict(_)));
    /// ```
    pub fn apply(&self, txn: &Txn) -> Commit {
        self.lock(|state| {
            let revision_of = |key: &str| state.rows.get(key).map_or(0, |row| row.revision);
            let holds = txn.checks.iter().all(|check| revision_of(&check.key) == check.revision);
            if !holds {
                let checked = txn.checks.iter().filter_map(|check| state.rows.get(&check.key));
                return Commit::Conflict(checked.cloned().collect());
            }
            state.revision += 1;
            state.commits += 1;
            state.row_writes += txn.writes.len() as u64;
            for write in &txn.writes {
                let key = write.key.clone();
                match &write.value {
                    None => drop(state.rows.remove(&key)),
                    Some(value) => {
                        let row = Row {
                            key: key.clone(),
                            revision: state.revision,
                            value: value.clone(),
                        };
                        state.rows.insert(key, row);
                    }
                }
            }
            Commit::Applied(state.revision)
        })
    }

    /// Copies all rows.
    pub fn backup(&self) -> Backup {
        self.lock(|state| Backup { rows: state.rows.clone(), revision: state.revision })
    }

    /// Replaces all rows by those of a copy and raises the era.
    ///
    /// # Examples
    ///
    /// ```
    /// use store::{Table, Txn, memory::Platform};
    /// let platform = Platform::default();
    /// let backup = platform.backup();
    /// let mut txn = Txn::default();
    /// txn.put("budget/a", &7);
    /// platform.apply(&txn);
    /// platform.restore(&backup);
    /// assert!(platform.read(&["budget/a".into()]).is_empty());
    /// assert_eq!(platform.era(), Some(1));
    /// ```
    pub fn restore(&self, backup: &Backup) {
        self.lock(|state| {
            state.rows.clone_from(&backup.rows);
            state.revision = backup.revision;
            state.era += 1;
        });
    }

    /// Reads rows by key; keys without a row are left out.
    pub fn read(&self, keys: &[String]) -> Vec<Row> {
        self.lock(|state| keys.iter().filter_map(|key| state.rows.get(key)).cloned().collect())
    }

    /// Reads up to `limit` rows whose keys start with `prefix` and follow `after`.
    pub fn range(&self, prefix: &str, after: &str, limit: usize) -> Vec<Row> {
        let from = if after > prefix {
            Bound::Excluded(after.to_owned())
        } else {
            Bound::Included(prefix.to_owned())
        };
        self.lock(|state| {
            state
                .rows
                .range((from, Bound::Unbounded))
                .take_while(|(key, _)| key.starts_with(prefix))
                .take(limit)
                .map(|(_, row)| row.clone())
                .collect()
        })
    }

    /// Returns the numbers of applied transactions and of row writes in them.
    pub fn write_counts(&self) -> (u64, u64) {
        self.lock(|state| (state.commits, state.row_writes))
    }

    /// Replaces the whole instance list.
    pub fn set_instances(&self, instances: Vec<Listing>) {
        self.lock(|state| state.instances = instances);
    }

    /// Returns a copy of the instance list.
    pub fn instances(&self) -> Vec<Listing> {
        self.lock(|state| state.instances.clone())
    }

    /// Stores an object and replaces an earlier one with the same name.
    pub fn put_object(&self, name: String, body: Vec<u8>) {
        self.lock(|state| state.objects.insert(name, body));
    }

    /// Returns a copy of an object; `None` if no object has the name.
    pub fn object(&self, name: &str) -> Option<Vec<u8>> {
        self.lock(|state| state.objects.get(name).cloned())
    }
}

impl crate::Table for Platform {
    fn get(&self, keys: Vec<String>) -> Pending<'_, Vec<Row>> {
        ready(Ok(self.read(&keys))).boxed_local()
    }

    fn scan(&self, prefix: String, after: String, limit: usize) -> Pending<'_, Vec<Row>> {
        ready(Ok(self.range(&prefix, &after, limit))).boxed_local()
    }

    fn commit(&self, txn: Txn) -> Pending<'_, Commit> {
        ready(Ok(self.apply(&txn))).boxed_local()
    }

    fn now(&self) -> Option<Duration> {
        Some(self.clock.now())
    }

    fn era(&self) -> Option<u64> {
        Some(self.lock(|state| state.era))
    }
}

impl crate::Objects for Platform {
    fn put(&self, name: String, body: Vec<u8>) -> Pending<'_, ()> {
        self.put_object(name, body);
        ready(Ok(())).boxed_local()
    }

    fn fetch(&self, name: String) -> Pending<'_, Option<Vec<u8>>> {
        ready(Ok(self.object(&name))).boxed_local()
    }
}

impl crate::Instances for Platform {
    fn list(&self) -> Pending<'_, Vec<Listing>> {
        ready(Ok(self.instances())).boxed_local()
    }
}
