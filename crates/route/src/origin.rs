//! Software versions at which streams began.
//!
//! The events of two versions of an upstream's software do not fit together, so an interrupted
//! stream may go on only at the version that began it. The caller may take it up at another
//! instance, which finds the version as follows:
//!
//! - Streams begin only at versions that are announced in the table. While one version of a service
//!   is announced, all its streams began there.
//! - With several versions, the instance that relays the first event of a stream writes the version
//!   to the table, together with those of other streams.
//!
//! - An instance that finds out that a stream may have begun at another version than it took for
//!   proven writes a row without a version, which outweighs the other proofs.
//!
//! Without a proof, the stream does not go on.

pub mod client;
pub mod journal;

use std::fmt;

use base::prelude::*;
use futures::future::LocalBoxFuture;

/// Access to the versions of a service and to those at which streams began.
pub trait Origins: fmt::Debug {
    /// Notes that an upstream of this version is listed, and announces new versions.
    fn observe(&self, service: &ServiceId, version: &SoftwareVersion);

    /// Returns true if streams may begin at this version.
    fn is_announced(&self, service: &ServiceId, version: &SoftwareVersion) -> bool;

    /// Records the version at which a stream began; `stream` is the id of the first request.
    fn record(&self, stream: &str, service: &ServiceId, version: &SoftwareVersion);

    /// Withdraws the version at which a stream began, because it may have been another one.
    ///
    /// When the future ends, other instances find no version for it.
    ///
    /// # Errors
    ///
    /// Returns an error if the table does not answer.
    fn revoke<'a>(
        &'a self,
        stream: &'a str,
        service: &'a ServiceId,
    ) -> LocalBoxFuture<'a, Result<(), store::Error>>;

    /// Finds the version at which a stream began; `None` if nothing proves it.
    ///
    /// `stream` is the id of the first request, if the caller has stated it.
    ///
    /// # Errors
    ///
    /// Returns an error if the table is needed and does not answer.
    fn find<'a>(
        &'a self,
        stream: Option<&'a str>,
        service: &'a ServiceId,
    ) -> LocalBoxFuture<'a, Result<Option<SoftwareVersion>, store::Error>>;
}
