//! Which instances an account's callers use, by rendezvous hashing.

use sha2::{Digest, Sha256};

/// Instances that every account gets if there are as many.
pub const MIN_SUBSET_SIZE: usize = 3;

/// An instance that may be named to callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Instance.
    pub instance: String,
    /// Failure domain.
    pub domain: String,
    /// Address for callers.
    pub address: String,
}

/// Returns how many instances an account with a share of the load should use.
///
/// # Examples
///
/// ```
/// use member::subset::size;
/// assert_eq!(size(0, 8), 3);
/// assert_eq!(size(50, 8), 4);
/// assert_eq!(size(0, 2), 2);
/// ```
#[must_use]
pub fn size(share_percent: u32, live_count: usize) -> usize {
    let share = usize::try_from(share_percent).unwrap_or(100).min(100);
    (live_count * share).div_ceil(100).max(MIN_SUBSET_SIZE).min(live_count)
}

/// Returns the `size` best places for an account, spread over the failure domains.
///
/// A place that comes or goes changes only the answers in which it is or was. The best place of
/// each domain comes before the second best of any.
#[must_use]
pub fn choose(account: &str, candidates: &[Candidate], size: usize) -> Vec<Candidate> {
    let mut scored: Vec<(u64, &Candidate)> = candidates
        .iter()
        .map(|candidate| (score(account, &candidate.instance), candidate))
        .collect();
    scored.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.instance.cmp(&b.1.instance)));
    let mut ranked: Vec<(usize, usize, &Candidate)> = Vec::new();
    for (order, (_, candidate)) in scored.iter().enumerate() {
        let round = ranked.iter().filter(|(_, _, other)| other.domain == candidate.domain).count();
        ranked.push((round, order, candidate));
    }
    ranked.sort_by_key(|(round, order, _)| (*round, *order));
    ranked.into_iter().take(size).map(|(_, _, candidate)| candidate.clone()).collect()
}

fn score(account: &str, instance: &str) -> u64 {
    let mut hash = Sha256::new();
    hash.update(account.as_bytes());
    hash.update([0]);
    hash.update(instance.as_bytes());
    let bytes = hash.finalize();
    u64::from_be_bytes(bytes[..8].try_into().expect("a digest has 32 bytes"))
}
