//! This instance's view of all instances, shared by its threads.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};

use arc_swap::ArcSwap;
use base::prelude::*;
use rand::Rng;
use serde::Serialize;
use store::Listing;
use wire::message::{Member, State};

use crate::subset::{self, Candidate, MIN_SUBSET_SIZE};

/// The platform's instance list and the members known from heartbeats.
#[derive(Debug)]
pub struct View {
    own: Listing,
    listed: ArcSwap<Vec<Listing>>,
    /// Ids of all instances that any list has contained.
    ever_listed: ArcSwap<BTreeSet<InstanceId>>,
    members: ArcSwap<Vec<Member>>,
    /// Time for which callers may cache an answer.
    answer_ttl: Duration,
    leaving: AtomicBool,
}

/// Addresses of the instances that a caller should use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Answer {
    /// Addresses as `ip:port`, in order of preference.
    pub addresses: Vec<String>,
    /// Seconds for which the caller may cache the answer.
    pub keep_seconds: u64,
}

impl View {
    /// Opens a view that knows only this instance.
    ///
    /// Callers may cache an answer for `answer_ttl`, rounded down to seconds.
    #[must_use]
    pub fn open(own: Listing, answer_ttl: Duration) -> Self {
        Self {
            own,
            listed: ArcSwap::default(),
            ever_listed: ArcSwap::default(),
            members: ArcSwap::default(),
            answer_ttl,
            leaving: AtomicBool::new(false),
        }
    }

    /// Replaces the platform's instance list.
    pub fn set_listed(&self, listed: Vec<Listing>) {
        let known = self.ever_listed.load();
        if listed.iter().any(|listing| !known.contains(listing.instance.as_str())) {
            self.ever_listed.rcu(|known| {
                let ids = listed.iter().map(|listing| listing.instance.as_str().into());
                known.iter().map(Arc::clone).chain(ids).collect::<BTreeSet<_>>()
            });
        }
        self.listed.store(Arc::new(listed));
    }

    /// Replaces the members known from heartbeats.
    pub fn set_members(&self, members: Vec<Member>) {
        self.members.store(Arc::new(members));
    }

    /// Marks this instance as leaving and omits it from answers.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Returns true after [`Self::leave`].
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Returns the entry under which this instance is listed.
    #[must_use]
    pub fn own(&self) -> &Listing {
        &self.own
    }

    /// Returns the instances of the platform's latest list; empty before the first one.
    pub fn listed(&self) -> Arc<Vec<Listing>> {
        self.listed.load_full()
    }

    /// Returns the ids of all instances that have been listed since the start of this one.
    pub fn ever_listed(&self) -> Arc<BTreeSet<InstanceId>> {
        self.ever_listed.load_full()
    }

    /// Returns the members known from heartbeats; empty without an agent.
    pub fn members(&self) -> Arc<Vec<Member>> {
        self.members.load_full()
    }

    /// Returns the instances that callers may use.
    ///
    /// Suspects are omitted if at least [`MIN_SUBSET_SIZE`] instances are alive.
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
        // The list may be stale: a started member serves before it is listed.
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

    /// Returns the instances that the callers of an account should use.
    ///
    /// `share_percent` sets the size of the account's subset, see [`subset::size`]; without an
    /// account, all instances are returned. If the subset has at most
    /// [`MIN_SUBSET_SIZE`] instances, all callers of the account get the same first one, so that
    /// its budgets are split into few pieces. Otherwise the first instance is random.
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
