//! Types that nearly every module imports.

pub use std::sync::Arc;
pub use std::time::Duration;

pub use crate::clock::Clock;
pub use crate::id::{
    AccountId, BudgetId, DomainId, HolderId, Incarnation, InstanceId, ModelId, RequestId,
    ServiceId, SoftwareVersion, Tokens, UpstreamId, Version,
};
pub use crate::outcome::Outcome;
