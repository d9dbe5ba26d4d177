//! Configuration: intents of operators, plans, their confirmation, and the routing table.
//!
//! The confirmed configuration is one versioned [`Doc`] in the platform's table. Budgets and
//! callers' keys have a row each, outside the document. An intent is an operator's JSON merge patch
//! (RFC 7396) of the document and these rows. [`planner::Planner`] answers it with a plan (a
//! proposed change). Confirming the plan applies it by compare-and-set on the version of the
//! document that it was made from. Instances keep the newest document in memory as [`ActiveDoc`]
//! and look up callers' keys through a [`Keyring`].

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

/// Key of the table row that holds the confirmed [`Doc`].
pub const CURRENT_ROW: &str = "config/current";
/// Key of the table row that holds only the version of the confirmed [`Doc`].
pub const VERSION_ROW: &str = "config/version";
/// Key prefix of the rows of callers' keys; the digest of the key follows.
pub const KEYS: &str = "key/";
/// Key prefix of the rows of applied top-ups; budget and payment id follow.
pub const TOP_UPS: &str = "topup/";
/// Key prefix of the rows of plans; the id of the plan follows.
pub const PLANS: &str = "plan/";
/// Key prefix of the rows of the audit log; the version follows in hexadecimal.
pub const AUDIT: &str = "audit/";
