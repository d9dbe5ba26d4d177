//! Source of callers' keys: the table, or a peer while the table is unreachable.

use std::collections::HashMap;
use std::rc::Rc;

use base::prelude::*;
use flow::Shared;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use member::Agent;
use plan::candidate::key_row_key;
use plan::doc::Key;
use plan::keyring::{Snapshot, Source, Unreachable};
use plan::{KEYS, VERSION_ROW};
use store::{Row, Table};
use tokio::time::timeout;
use wire::message::{Fetch, Reply, Request, State};

/// Longest wait for the table before peers are called.
const TABLE_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest wait for the answer of a peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(200);
/// Most peers that are called for one key.
const MAX_PEER_FETCHES: usize = 2;

/// Source that reads keys from the table, or a single key from peers.
pub struct Keys {
    table: Rc<dyn Table>,
    agent: Option<Agent>,
    shared: Arc<Shared>,
}

impl std::fmt::Debug for Keys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Keys").finish_non_exhaustive()
    }
}

impl Keys {
    /// Opens a source; with `agent` as `None` no peers are called.
    #[must_use]
    pub fn open(table: Rc<dyn Table>, agent: Option<Agent>, shared: Arc<Shared>) -> Self {
        Self { table, agent, shared }
    }

    async fn read_table(&self, digests: &[String]) -> Result<Snapshot, Unreachable> {
        let mut rows: Vec<String> = digests.iter().map(|digest| key_row_key(digest)).collect();
        rows.push(VERSION_ROW.into());
        match timeout(TABLE_TIMEOUT, self.table.get(rows)).await {
            Ok(Ok(rows)) => Ok(parse_rows(rows)),
            _ => Err(Unreachable),
        }
    }

    /// Returns a key from the cache of the first peer that has it.
    async fn read_from_peers(&self, digest: &str) -> Option<Snapshot> {
        let agent = self.agent.as_ref()?;
        let members = self.shared.membership.members();
        let own = &self.shared.membership.own().instance;
        let others =
            members.iter().filter(|member| member.state == State::Alive && member.instance != *own);
        for member in others.take(MAX_PEER_FETCHES) {
            let Ok(address) = member.peer_address.parse() else { continue };
            let fetch = Request::Fetch(Fetch { newer_than: 0, key: digest.to_owned() });
            let reply = agent.pool().call(address, &fetch, PEER_TIMEOUT).await;
            let Ok(Reply::Document(document)) = reply else { continue };
            if let Ok(key) = serde_json::from_slice::<Key>(&document.body) {
                let keys = HashMap::from([(digest.to_owned(), key)]);
                return Some(Snapshot { version: document.version, keys });
            }
        }
        None
    }
}

fn parse_rows(rows: Vec<Row>) -> Snapshot {
    let mut snapshot = Snapshot::default();
    for row in rows {
        if row.key == VERSION_ROW {
            snapshot.version = row.value.as_u64().unwrap_or_default();
        } else if let Some(digest) = row.key.strip_prefix(KEYS)
            && let Ok(key) = serde_json::from_value(row.value)
        {
            snapshot.keys.insert(digest.to_owned(), key);
        }
    }
    snapshot
}

impl Source for Keys {
    fn read(&self, digests: Vec<String>) -> LocalBoxFuture<'_, Result<Snapshot, Unreachable>> {
        async move {
            let found = self.read_table(&digests).await;
            // A peer can confirm that a key exists, but not that it does not exist.
            match (&found, digests.as_slice()) {
                (Err(_), [digest]) => self.read_from_peers(digest).await.ok_or(Unreachable),
                _ => found,
            }
        }
        .boxed_local()
    }
}
