//! Merging of the records of several parts.

use bytes::Bytes;

/// Size of a record in bytes. A shorter remainder at the end of a part is ignored.
pub const RECORD_BYTES: usize = 16;

/// Returns the `limit` greatest records of all parts in descending order.
///
/// Records are compared bytewise; duplicates are kept.
///
/// # Examples
///
/// ```
/// use {bytes::Bytes, scatter::top_records};
///
/// let low = Bytes::from([[1_u8; 16], [3; 16]].concat());
/// let high = Bytes::from([[2_u8; 16], [3; 16]].concat());
/// let merged = top_records(&[low, high], 3);
/// assert_eq!(merged, Bytes::from([[3_u8; 16], [3; 16], [2; 16]].concat()));
/// ```
pub fn top_records(parts: &[Bytes], limit: usize) -> Bytes {
    let mut records: Vec<&[u8]> = parts
        .iter()
        .flat_map(|part| part.chunks_exact(RECORD_BYTES))
        .collect();
    if limit == 0 || records.is_empty() {
        return Bytes::new();
    }
    if limit < records.len() {
        // Selecting first leaves only `limit` records to sort.
        records.select_nth_unstable_by(limit - 1, |a, b| b.cmp(a));
        records.truncate(limit);
    }
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.concat().into()
}
