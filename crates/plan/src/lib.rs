//! Configuration: what operators want, plan and confirm.
//!
//! The confirmed configuration is one versioned [`Doc`] in the platform's table, with a row for
//! each budget and each caller's key beside it. An operator states an intent as a JSON merge patch
//! (RFC 7396) over all of it; [`planner::Planner`] answers with a plan and puts it in force by
//! compare-and-set on the version it was made from. Instances hold the document in memory and
//! look keys up through a [`Keyring`].

pub mod active;
pub mod candidate;
pub mod check;
pub mod doc;
pub mod error;
pub mod hash;
pub mod intent;
pub mod keyring;
pub mod planner;
pub mod proposal;
pub mod routing;

pub use crate::active::ActiveDoc;
pub use crate::doc::Doc;
pub use crate::error::Error;
pub use crate::keyring::Keyring;

/// Key of the table row that holds the confirmed configuration.
pub const CURRENT_ROW: &str = "config/current";
/// Key of the table row that holds the version of the confirmed configuration.
pub const VERSION_ROW: &str = "config/version";
/// Prefix of rows that hold callers' keys, by the digest of the key.
pub const KEYS: &str = "key/";
/// Prefix of rows that say which top-ups were applied.
pub const TOP_UPS: &str = "topup/";
/// Prefix of rows that hold plans.
pub const PLANS: &str = "plan/";
/// Prefix of rows that hold the audit log.
pub const AUDIT: &str = "audit/";
