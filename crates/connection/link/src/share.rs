//! The share of a server's connection limit that one relay may use.

/// One in this many relays, rounded up, may be under replacement at once.
const RELAYS_PER_REPLACEMENT: usize = 4;

/// Returns how many connections each of `relays` may hold to a server that accepts `limit`.
///
/// The shares leave room for one replacement for every four relays, and for at
/// least one, so that a relay and its replacement together stay within the limit.
///
/// # Examples
///
/// ```
/// use link::connection_share;
///
/// assert_eq!(connection_share(25, 2), 8);
/// assert_eq!(connection_share(25, 8), 2);
/// ```
pub fn connection_share(limit: u32, relays: usize) -> u32 {
    let relays = relays.max(1);
    let holders = relays + relays.div_ceil(RELAYS_PER_REPLACEMENT);
    let holders = u32::try_from(holders).unwrap_or(u32::MAX);
    (limit / holders).max(1)
}
