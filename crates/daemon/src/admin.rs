//! Admin API for operators: plans and their confirmation, and reports.

pub mod access;
pub mod answer;
pub mod plans;
pub mod report;

use std::rc::Rc;

use base::prelude::*;
use flow::Shared;
use ntex::web::{self, ServiceConfig};
use plan::planner::Planner;
use store::Table;
use store::remote::Platform;
use tokio::sync::Notify;

/// State of the admin API on one worker thread.
#[derive(Debug)]
pub struct Admin {
    shared: Arc<Shared>,
    platform: Rc<Platform>,
    planner: Planner,
    root_digest: Option<String>,
    on_confirm: Arc<Notify>,
}

impl Admin {
    /// Opens the API on the current thread.
    ///
    /// `root_digest` is the SHA-256 of the root operator's key, `None` if there is no such
    /// operator. `on_confirm` is notified of each confirmation.
    #[must_use]
    pub fn open(
        shared: Arc<Shared>,
        settings: &conf::platform::Platform,
        root_digest: Option<String>,
        on_confirm: Arc<Notify>,
    ) -> Rc<Self> {
        let platform = Rc::new(Platform::open(settings.address, settings.timeout));
        let table = Rc::clone(&platform) as Rc<dyn Table>;
        let planner = Planner::open(table, Arc::clone(&shared.clock));
        Rc::new(Self { shared, platform, planner, root_digest, on_confirm })
    }
}

/// Registers the routes under `/admin/v1/`.
pub fn configure(config: &mut ServiceConfig) {
    config
        .route("/admin/v1/plans", web::post().to(plans::propose))
        .route("/admin/v1/plans/{id}/confirm", web::post().to(plans::confirm))
        .route("/admin/v1/config", web::get().to(report::config))
        .route("/admin/v1/status", web::get().to(report::status))
        .route("/admin/v1/accounts", web::get().to(report::accounts))
        .route("/admin/v1/audit", web::get().to(report::audit));
}
