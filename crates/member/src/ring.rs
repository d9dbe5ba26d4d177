//! Choice of the members that receive an instance's heartbeats.

/// Returns the positions at distances 1, 2, 4, … from `own` on a ring.
///
/// The ring has `count` positions. Each position has O(log n) neighbours, and gossip reaches the
/// whole ring in O(log n) hops.
///
/// # Examples
///
/// ```
/// assert_eq!(member::ring::neighbours(6, 8), [7, 0, 2]);
/// assert!(member::ring::neighbours(0, 1).is_empty());
/// ```
#[must_use]
pub fn neighbours(own: usize, count: usize) -> Vec<usize> {
    let mut positions = Vec::new();
    let mut distance = 1;
    while distance < count {
        positions.push((own + distance) % count);
        distance *= 2;
    }
    positions
}
