//! The share of a server's connection limit that one relay may use.

/// Relays for which room is kept while one of them is replaced, as a divisor
/// of the number of relays: one in four, and one at least.
const REPLACED_DIVISOR: usize = 4;

/// Returns how many connections one of `relays` may hold to a server that accepts `limit`.
///
/// Room is kept for relays that are being replaced, so that the old and the
/// new one together stay within the limit.
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
    let holders = relays + relays.div_ceil(REPLACED_DIVISOR);
    let holders = u32::try_from(holders).unwrap_or(u32::MAX);
    (limit / holders).max(1)
}
