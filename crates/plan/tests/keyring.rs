//! Guards against revoked keys that stay valid and valid keys that are rejected.
//!
//! Both could come about when the cache answers from an outdated copy, or when the table is
//! unreachable or returns outdated rows. The last test guards against a cache without a bound.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use base::clock::Manual;
use base::prelude::*;
use futures::FutureExt;
use futures::future::{LocalBoxFuture, ready};
use plan::doc::Key;
use plan::keyring::{self, Snapshot, Source, Unreachable};
use plan::{ActiveDoc, Doc, Keyring};

#[derive(Default)]
struct Table {
    keys: RefCell<HashMap<String, Key>>,
    version: Cell<Version>,
    is_down: Cell<bool>,
    read_count: Cell<usize>,
}

struct TableSource(Rc<Table>);

impl Source for TableSource {
    fn read(&self, digests: Vec<String>) -> LocalBoxFuture<'_, Result<Snapshot, Unreachable>> {
        let table = &self.0;
        table.read_count.set(table.read_count.get() + 1);
        let keys = table.keys.borrow();
        let found = digests.into_iter().filter_map(|id| Some((id.clone(), keys.get(&id)?.clone())));
        let snapshot = Snapshot { version: table.version.get(), keys: found.collect() };
        ready(if table.is_down.get() { Err(Unreachable) } else { Ok(snapshot) }).boxed_local()
    }
}

fn open() -> (Rc<Table>, Keyring, Arc<ActiveDoc>, Arc<Manual>) {
    let (table, active, clock) =
        (Rc::new(Table::default()), Arc::new(ActiveDoc::default()), Arc::new(Manual::default()));
    let (keyring, inbox) = keyring::open(Arc::clone(&active), Arc::clone(&clock) as Arc<dyn Clock>);
    ntex::rt::spawn(inbox.run(Rc::new(TableSource(Rc::clone(&table)))));
    let key = Key { account: "courier".into(), budget: "courier".into() };
    table.keys.borrow_mut().insert("k".into(), key);
    table.version.set(1);
    active.replace_if_newer(Doc { version: 1, ..Doc::default() });
    (table, keyring, active, clock)
}

fn revoke(active: &ActiveDoc, digest: &str, version: Version) {
    let mut doc = Doc { version, ..Doc::default() };
    doc.touched.record(digest, version);
    active.replace_if_newer(doc);
}

#[ntex::test]
async fn cached_key_is_found_without_a_read_while_the_table_is_unreachable() {
    let (table, keyring, _active, clock) = open();
    assert!(keyring.find("k").await.unwrap().is_some());
    table.is_down.set(true);
    clock.advance(Duration::from_hours(1));
    assert!(keyring.find("k").await.unwrap().is_some());
    assert_eq!(table.read_count.get(), 1);
    assert_eq!(keyring.find("other").await, Err(Unreachable));
}

#[ntex::test]
async fn cached_key_is_rejected_from_the_version_that_revokes_it() {
    let (table, keyring, active, _clock) = open();
    assert!(keyring.find("k").await.unwrap().is_some());
    revoke(&active, "k", 2);
    // The table is unreachable, so no newer copy replaces the outdated one.
    table.is_down.set(true);
    assert_eq!(keyring.find("k").await, Err(Unreachable));
    // The table answers with an outdated row, which must not be used either.
    table.is_down.set(false);
    assert_eq!(keyring.find("k").await, Err(Unreachable));
    table.version.set(2);
    table.keys.borrow_mut().clear();
    assert_eq!(keyring.find("k").await, Ok(None));
}

#[ntex::test]
async fn new_key_is_found_one_second_after_its_absence_was_cached() {
    let (table, keyring, _active, clock) = open();
    assert_eq!(keyring.find("new").await, Ok(None));
    let key = Key { account: "courier".into(), budget: "courier".into() };
    table.keys.borrow_mut().insert("new".into(), key);
    clock.advance(Duration::from_millis(1_001));
    assert!(keyring.find("new").await.unwrap().is_some());
}

#[ntex::test]
async fn cache_keeps_at_most_its_capacity() {
    let (table, keyring, _active, _clock) = open();
    for number in 0..40_000 {
        keyring.find(&format!("{number}")).await.unwrap();
    }
    assert!(keyring.find("k").await.unwrap().is_some());
    table.is_down.set(true);
    let mut kept = 0;
    for number in 0..40_000 {
        kept += usize::from(keyring.find(&format!("{number}")).await.is_ok());
    }
    assert!(kept <= 64 * 256, "{kept} keys are cached");
}
