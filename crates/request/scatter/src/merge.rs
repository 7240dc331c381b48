//! The greatest records of several parts.

use bytes::Bytes;

/// Size of a record in bytes. A remainder that is shorter is not a record.
pub const RECORD_BYTES: usize = 16;

/// Returns the greatest `keep` records of all parts, the greatest first.
///
/// Records are compared byte by byte, and equal ones all count.
///
/// # Examples
///
/// ```
/// use {bytes::Bytes, scatter::greatest_records};
///
/// let low = Bytes::from([[1_u8; 16], [3; 16]].concat());
/// let high = Bytes::from([[2_u8; 16], [3; 16]].concat());
/// let merged = greatest_records(&[low, high], 3);
/// assert_eq!(merged, Bytes::from([[3_u8; 16], [3; 16], [2; 16]].concat()));
/// ```
pub fn greatest_records(parts: &[Bytes], keep: usize) -> Bytes {
    let mut records: Vec<&[u8]> = parts
        .iter()
        .flat_map(|part| part.chunks_exact(RECORD_BYTES))
        .collect();
    if keep == 0 || records.is_empty() {
        return Bytes::new();
    }
    if keep < records.len() {
        // Only the records that are kept need an order among themselves.
        records.select_nth_unstable_by(keep - 1, |a, b| b.cmp(a));
        records.truncate(keep);
    }
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.concat().into()
}
