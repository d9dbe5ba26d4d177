//! Failure domains that the operator has evacuated: their upstreams get no new requests.
//!
//! Load pattern: an operator who moves all load away from a domain at once and brings it back
//! later. The rows of the store decide; each instance applies a row as soon as it reads it. After a
//! restore of the store from an older copy, a missing row proves nothing: its domain stays evacuated
//! until the operator writes the row again or removes it.

use std::cell::RefCell;
use std::collections::HashMap;

use base::prelude::*;

/// Evacuation of one failure domain, as this instance knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evacuation {
    /// When this instance read the row, by its own clock.
    pub since: Duration,
    /// Revision of the row in the store.
    pub revision: u64,
    /// Whether a restore of the store has lost the row.
    pub is_row_lost: bool,
    /// Selections of an upstream for which those of the domain were passed over.
    pub diverted_count: u64,
}

/// Effect of a row on the evacuated domains.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The domain is evacuated from now on.
    Evacuated(DomainId),
    /// The domain was evacuated, and takes requests again.
    TakenBack(DomainId, Evacuation),
    /// A restore of the store has lost the row; the domain stays evacuated.
    RowLost(DomainId),
}

/// The evacuated failure domains.
#[derive(Debug, Default)]
pub struct Evacuations {
    domains: RefCell<HashMap<DomainId, Evacuation>>,
}

impl Evacuations {
    /// Returns true if no upstream of the domain may get a request.
    #[must_use]
    pub fn contains(&self, domain: &str) -> bool {
        self.domains.borrow().contains_key(domain)
    }

    /// Returns true if no domain is evacuated.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.domains.borrow().is_empty()
    }

    /// Returns the evacuation of a domain, if it is evacuated.
    #[must_use]
    pub fn find(&self, domain: &str) -> Option<Evacuation> {
        self.domains.borrow().get(domain).cloned()
    }

    /// Applies a row that evacuates a domain; `revision` is that of the row.
    ///
    /// Returns `None` if the domain was evacuated already.
    pub fn evacuate(&self, domain: &DomainId, revision: u64, now: Duration) -> Option<Event> {
        let mut domains = self.domains.borrow_mut();
        if let Some(known) = domains.get_mut(domain) {
            known.revision = revision;
            known.is_row_lost = false;
            return None;
        }
        let evacuation = Evacuation { since: now, revision, is_row_lost: false, diverted_count: 0 };
        domains.insert(Arc::clone(domain), evacuation);
        Some(Event::Evacuated(Arc::clone(domain)))
    }

    /// Applies the removal of a domain's row; returns `None` if the domain was not evacuated.
    pub fn take_back(&self, domain: &DomainId) -> Option<Event> {
        let evacuation = self.domains.borrow_mut().remove(domain)?;
        Some(Event::TakenBack(Arc::clone(domain), evacuation))
    }

    /// Applies a read of all rows, given as domains and revisions.
    ///
    /// A domain without a row is taken back, unless the row may have been lost: `is_restored` tells
    /// whether the store was restored from a copy since the last read. Domains in `undecodable` have
    /// a row that could not be decoded, and stay as they are.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use front::evacuation::{Evacuations, Event};
    ///
    /// let evacuations = Evacuations::default();
    /// let now = Duration::from_secs(60);
    /// let events = evacuations.replace(&[("a".into(), 7)], &[], false, now);
    /// assert_eq!(events, [Event::Evacuated("a".into())]);
    /// // The copy of the store is older than the row.
    /// evacuations.replace(&[], &[], true, now);
    /// assert!(evacuations.contains("a"));
    /// evacuations.take_back(&"a".into());
    /// assert!(!evacuations.contains("a"));
    /// ```
    pub fn replace(
        &self,
        rows: &[(DomainId, u64)],
        undecodable: &[DomainId],
        is_restored: bool,
        now: Duration,
    ) -> Vec<Event> {
        let mut events: Vec<Event> = Vec::new();
        let is_read = |domain: &DomainId| {
            rows.iter().any(|(read, _)| read == domain) || undecodable.contains(domain)
        };
        self.domains.borrow_mut().retain(|domain, evacuation| {
            if is_read(domain) || evacuation.is_row_lost {
                return true;
            }
            if is_restored {
                evacuation.is_row_lost = true;
                events.push(Event::RowLost(Arc::clone(domain)));
                return true;
            }
            events.push(Event::TakenBack(Arc::clone(domain), evacuation.clone()));
            false
        });
        events.extend(
            rows.iter().filter_map(|(domain, revision)| self.evacuate(domain, *revision, now)),
        );
        events
    }

    /// Counts a selection for which the upstreams of these domains were passed over.
    pub fn record_diverted<'a>(&self, passed_over: impl Iterator<Item = &'a DomainId>) {
        let mut domains = self.domains.borrow_mut();
        let mut counted: Vec<&DomainId> = Vec::new();
        for domain in passed_over {
            if counted.contains(&domain) {
                continue;
            }
            counted.push(domain);
            if let Some(evacuation) = domains.get_mut(domain) {
                evacuation.diverted_count += 1;
            }
        }
    }
}
