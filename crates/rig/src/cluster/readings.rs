//! What a cluster is configured with, and readings of its state.

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
    /// Two client accounts, one model, one plain service; the parts of every cluster.
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

    /// Reads what all upstreams ran.
    ///
    /// # Errors
    ///
    /// Returns an error if an upstream cannot be reached.
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

    /// Reads the platform's view of the budgets.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached.
    pub async fn budgets(&self) -> Result<Vec<Budget>, Error> {
        let url = format!("http://{}/budgets", self.platform.address);
        Ok(client::json(&self.http, Method::GET, url, None, &()).await?)
    }

    /// Reads how much the platform was asked to do.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached.
    pub async fn counts(&self) -> Result<Counts, Error> {
        let url = format!("http://{}/counts", self.platform.address);
        Ok(client::json(&self.http, Method::GET, url, None, &()).await?)
    }

    /// Reads every bill and every payment that the platform was told.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached.
    pub async fn history(&self) -> Result<History, Error> {
        let url = format!("http://{}/history", self.platform.address);
        Ok(client::json(&self.http, Method::GET, url, None, &()).await?)
    }
}
