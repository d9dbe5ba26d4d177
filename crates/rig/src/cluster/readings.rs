//! Default configuration of a cluster, and calls that read its state.

use std::fs;

use ntex::http::Method;
use plan::hash::digest;
use serde_json::{Value, json};

use super::{Cluster, Error};
use crate::billing::History;
use crate::client;
use crate::journal::{self, Run};
use crate::platform::{Budget, Counts};

impl Cluster {
    /// Returns the configuration that every cluster starts with.
    ///
    /// It has two client accounts, one model and one plain service.
    #[must_use]
    pub fn default_intent(&self) -> Value {
        let mut upstreams = serde_json::Map::new();
        let mut names = Vec::new();
        for (number, engine) in self.engines.iter().enumerate() {
            let name = format!("engine-{}", number + 1);
            let row = json!({"kind": "engine", "address": engine.instance_address,
                "domain": format!("domain-{}", number % 3 + 1), "slots": 256});
            upstreams.insert(name.clone(), row);
            names.push(name);
        }
        let plain = json!({"kind": "service", "address": self.services[0].instance_address,
            "domain": "domain-1", "slots": 256});
        upstreams.insert("plain-1".into(), plain);
        json!({
            "accounts": {"courier": {}, "merchant": {}},
            "budgets": {
                "courier": {"account": "courier", "paid": 100_000_000},
                "merchant": {"account": "merchant", "paid": 100_000_000},
            },
            "keys": {
                digest("courier-key"): {"account": "courier", "budget": "courier"},
                digest("merchant-key"): {"account": "merchant", "budget": "merchant"},
            },
            "models": {"model": {"upstreams": names, "max_tokens": 64, "template_tokens": 0}},
            "services": {
                "delivery": {"upstreams": ["plain-1"], "non_idempotent": ["POST /confirm*"]},
            },
            "upstreams": upstreams,
        })
    }

    /// Reads the runs of all upstreams, from journal files if the cluster has them.
    ///
    /// # Errors
    ///
    /// Returns an error if an upstream cannot be reached or a journal file cannot be read.
    pub async fn journal(&self) -> Result<Vec<Run>, Error> {
        let mut runs = Vec::new();
        if self.shape.journal_files {
            for entry in fs::read_dir(self.folder())? {
                let path = entry?.path();
                if path.extension().is_some_and(|extension| extension == "journal") {
                    runs.extend(journal::read(&path)?);
                }
            }
            return Ok(runs);
        }
        for upstream in self.engines.iter().chain(&self.services) {
            let url = format!("http://{}/journal", upstream.address);
            let part: Vec<Run> = client::json(&self.http, Method::GET, url, None, &()).await?;
            runs.extend(part);
        }
        Ok(runs)
    }

    /// Reads the budget rows from the platform stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached.
    pub async fn budgets(&self) -> Result<Vec<Budget>, Error> {
        let url = format!("http://{}/budgets", self.platform.address);
        Ok(client::json(&self.http, Method::GET, url, None, &()).await?)
    }

    /// Reads the numbers of calls, commits and written rows at the platform stand-in.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached.
    pub async fn counts(&self) -> Result<Counts, Error> {
        let url = format!("http://{}/counts", self.platform.address);
        Ok(client::json(&self.http, Method::GET, url, None, &()).await?)
    }

    /// Reads every bill and every payment that the platform stand-in committed.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached.
    pub async fn history(&self) -> Result<History, Error> {
        let url = format!("http://{}/history", self.platform.address);
        Ok(client::json(&self.http, Method::GET, url, None, &()).await?)
    }
}
