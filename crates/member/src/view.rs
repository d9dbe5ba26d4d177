//! The instances that this instance knows of.

use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::ArcSwap;
use base::prelude::*;
use rand::Rng;
use serde::Serialize;
use store::Listing;
use wire::message::{Member, State};

use crate::subset::{self, Candidate, MIN_SUBSET_SIZE};

/// Instances as the platform lists them and as their heartbeats show them.
#[derive(Debug)]
pub struct View {
    own: Listing,
    listed: ArcSwap<Vec<Listing>>,
    members: ArcSwap<Vec<Member>>,
    answer_ttl: Duration,
    leaving: AtomicBool,
}

/// Which instances a caller should use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Answer {
    /// Addresses as `ip:port`, the preferred first.
    pub addresses: Vec<String>,
    /// Seconds for which the answer may be kept.
    pub keep_seconds: u64,
}

impl View {
    /// Opens a view that holds only this instance.
    #[must_use]
    pub fn open(own: Listing, answer_ttl: Duration) -> Self {
        Self {
            own,
            listed: ArcSwap::default(),
            members: ArcSwap::default(),
            answer_ttl,
            leaving: AtomicBool::new(false),
        }
    }

    /// Takes in the platform's instance list.
    pub fn set_listed(&self, listed: Vec<Listing>) {
        self.listed.store(Arc::new(listed));
    }

    /// Takes in what heartbeats have shown.
    pub fn set_members(&self, members: Vec<Member>) {
        self.members.store(Arc::new(members));
    }

    /// Takes this instance out of the answers.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Returns true once this instance is about to stop.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Returns this instance as it is listed.
    #[must_use]
    pub fn own(&self) -> &Listing {
        &self.own
    }

    /// Returns the instances as last listed.
    pub fn listed(&self) -> Arc<Vec<Listing>> {
        self.listed.load_full()
    }

    /// Returns the members as heartbeats have shown them.
    pub fn members(&self) -> Arc<Vec<Member>> {
        self.members.load_full()
    }

    /// Returns the instances that callers may be sent to.
    ///
    /// Suspects are left out as long as enough others remain.
    #[must_use]
    pub fn candidates(&self) -> Vec<Candidate> {
        let members = self.members.load();
        let listed = self.listed.load();
        let state_of = |instance: &str| {
            members.iter().find(|member| member.instance == instance).map(|member| member.state)
        };
        let mut candidates: Vec<(State, Candidate)> = listed
            .iter()
            .filter(|listing| !listing.leaving)
            .map(|listing| {
                (state_of(&listing.instance).unwrap_or_default(), listing_candidate(listing))
            })
            .collect();
        let is_unlisted =
            |member: &&Member| !listed.iter().any(|listing| listing.instance == member.instance);
        // A member that the lagging list does not name yet serves already.
        let unlisted = members.iter().filter(|member| member.incarnation > 0).filter(is_unlisted);
        candidates.extend(unlisted.map(|member| (member.state, member_candidate(member))));
        if self.is_leaving() {
            candidates.retain(|(_, candidate)| candidate.instance != self.own.instance);
        }
        let count = |state| candidates.iter().filter(|(found, _)| *found == state).count();
        let has_enough_alive = count(State::Alive) >= MIN_SUBSET_SIZE;
        let is_usable = |state: State| match state {
            State::Alive => true,
            State::Suspect => !has_enough_alive,
            State::Leaving | State::Dead => false,
        };
        candidates
            .into_iter()
            .filter(|(state, _)| is_usable(*state))
            .map(|(_, candidate)| candidate)
            .collect()
    }

    /// Answers which instances the callers of an account with a share of the load should use.
    ///
    /// The callers of a large account start at different instances; those of a small one share
    /// the first, so that its budgets are split into few pieces.
    #[must_use]
    pub fn answer(&self, account: Option<&str>, share_percent: u32) -> Answer {
        let mut candidates = self.candidates();
        if candidates.is_empty() && !self.is_leaving() {
            candidates.push(listing_candidate(&self.own));
        }
        let size = subset::size(share_percent, candidates.len());
        let mut chosen = match account {
            Some(account) => subset::choose(account, &candidates, size),
            None => candidates,
        };
        if account.is_none() || chosen.len() > MIN_SUBSET_SIZE {
            let first = rand::rng().random_range(0..chosen.len().max(1));
            chosen.rotate_left(first);
        }
        let addresses = chosen.into_iter().map(|candidate| candidate.address).collect();
        Answer { addresses, keep_seconds: self.answer_ttl.as_secs() }
    }
}

fn listing_candidate(listing: &Listing) -> Candidate {
    Candidate {
        instance: listing.instance.clone(),
        domain: listing.domain.clone(),
        address: listing.address.clone(),
    }
}

fn member_candidate(member: &Member) -> Candidate {
    Candidate {
        instance: member.instance.clone(),
        domain: member.domain.clone(),
        address: member.address.clone(),
    }
}
