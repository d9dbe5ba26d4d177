//! Choice of a subset of instances for each account, by rendezvous hashing.

use sha2::{Digest, Sha256};

/// Fewest instances in an account's subset, unless fewer are available.
pub const MIN_SUBSET_SIZE: usize = 3;

/// An instance that may be returned to callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Id of the instance, an input of the hash.
    pub instance: String,
    /// Failure domain, over which a subset is spread.
    pub domain: String,
    /// Address for callers, as `ip:port`.
    pub address: String,
}

/// Returns the size of an account's subset of `live_count` instances.
///
/// `share_percent` is the percentage of the instances; values above 100 count as 100. The size is
/// at least [`MIN_SUBSET_SIZE`] if there are as many instances.
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

/// Returns the `size` candidates with the highest scores, spread over failure domains.
///
/// Adding or removing a candidate changes only the subsets that contain it. The best candidate of
/// each domain precedes the second best of any domain.
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
    u64::from_be_bytes(bytes[..8].try_into().expect("a SHA-256 digest has 32 bytes"))
}
