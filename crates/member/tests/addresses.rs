//! Address answers of `View` and the choice of subsets.
//!
//! Guards against answers that name unusable instances or a single failure domain, and against
//! subsets that change with unrelated instances or split budgets into too many pieces.

use std::collections::{BTreeMap, BTreeSet};

use member::View;
use member::subset::{Candidate, choose, size};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use store::Listing;
use wire::message::{Member, State};

fn candidates(count: usize, domains: usize) -> Vec<Candidate> {
    let candidate = |number: usize| Candidate {
        instance: format!("n{number}"),
        domain: format!("d{}", number % domains),
        address: format!("n{number}"),
    };
    (0..count).map(candidate).collect()
}

proptest! {
    #[test]
    fn chosen_instances_span_domains_and_stay_stable_after_a_removal(
        count in 1_usize..40,
        domains in 1_usize..6,
        account in "[a-z]{1,8}",
        share in 0_u32..=100,
        removed_index in any::<prop::sample::Index>(),
    ) {
        let all = candidates(count, domains);
        let subset_size = size(share, count);
        let chosen = choose(&account, &all, subset_size);
        prop_assert_eq!(chosen.len(), subset_size);
        prop_assert!(subset_size >= 3.min(count));
        let spread: BTreeSet<&str> =
            chosen.iter().map(|candidate| candidate.domain.as_str()).collect();
        prop_assert_eq!(spread.len(), subset_size.min(domains.min(count)));
        let mut remaining = all.clone();
        let removed = remaining.remove(removed_index.index(count));
        let after = choose(&account, &remaining, size(share, count - 1));
        if chosen.iter().all(|candidate| *candidate != removed) {
            // A subset that did not contain the removed instance gets no new one.
            prop_assert!(after.iter().all(|candidate| chosen.contains(candidate)));
        }
    }
}

fn listing(number: usize) -> Listing {
    Listing {
        instance: format!("n{number}"),
        address: format!("n{number}"),
        peer_address: format!("n{number}"),
        domain: format!("d{}", number % 3),
        leaving: number == 1,
    }
}

#[test]
fn answers_omit_dead_leaving_and_suspect_instances() {
    let view = View::open(listing(0), std::time::Duration::from_secs(10));
    view.set_listed((0..7).map(listing).collect());
    let member = |number: usize, state| Member {
        instance: format!("n{number}"),
        address: format!("n{number}"),
        incarnation: 1,
        state,
        ..Member::default()
    };
    view.set_members(vec![
        member(2, State::Dead),
        member(3, State::Leaving),
        member(4, State::Suspect),
        member(8, State::Alive),
    ]);
    let named: BTreeSet<String> = view.answer(None, 100).addresses.into_iter().collect();
    assert_eq!(named, ["n0", "n5", "n6", "n8"].map(String::from).into());
    view.leave();
    assert!(!view.answer(Some("a"), 0).addresses.contains(&"n0".to_owned()));
}

/// Returns the mean pieces per budget and the ratio of highest to mean load.
fn pieces_and_imbalance(
    answer: impl Fn(usize, &mut StdRng) -> Vec<String>,
    instances: usize,
) -> (f64, f64) {
    const ACCOUNTS: usize = 350;
    const CALLERS: usize = 40;
    let mut rng = StdRng::seed_from_u64(7);
    let (mut load, mut pieces) = (BTreeMap::<String, u64>::new(), 0_usize);
    for account in 0..ACCOUNTS {
        let mut used = BTreeSet::new();
        for _ in 0..CALLERS {
            let first = answer(account, &mut rng).swap_remove(0);
            *load.entry(first.clone()).or_default() += 1;
            used.insert(first);
        }
        pieces += used.len();
    }
    let max_load = load.values().max().copied().unwrap_or_default();
    #[expect(clippy::cast_precision_loss, reason = "the counts are exact as f64")]
    let mean = (ACCOUNTS * CALLERS) as f64 / instances as f64;
    #[expect(clippy::cast_precision_loss, reason = "the counts are exact as f64")]
    let figures = (pieces as f64 / ACCOUNTS as f64, max_load as f64 / mean);
    figures
}

#[test]
fn hashed_subset_needs_fewer_pieces_than_the_full_list_and_balances_load() {
    for instances in [8, 60] {
        let all = candidates(instances, 4);
        let subset = |account: usize, _rng: &mut StdRng| {
            choose(&format!("a{account}"), &all, 3)
                .into_iter()
                .map(|candidate| candidate.address)
                .collect()
        };
        let full = |_account: usize, rng: &mut StdRng| {
            let start = rng.random_range(0..all.len());
            vec![all[start].address.clone()]
        };
        let random = |_account: usize, rng: &mut StdRng| {
            all.choose_multiple(rng, 3).map(|candidate| candidate.address.clone()).collect()
        };
        let (chosen, full) =
            (pieces_and_imbalance(subset, instances), pieces_and_imbalance(full, instances));
        let random = pieces_and_imbalance(random, instances);
        println!("{instances} instances, pieces for each budget and highest over mean load:");
        println!("  subset {chosen:.2?}, full list {full:.2?}, random subset {random:.2?}");
        assert!(chosen.0 * 3.0 < full.0);
        assert!(chosen.1 < 2.5, "{chosen:?}");
    }
}
