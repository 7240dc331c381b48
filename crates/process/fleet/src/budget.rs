//! Token bucket over the bytes that the exchange sends.

use std::time::{Duration, Instant};

/// Bytes that a host may send for the exchange in a second, on average.
///
/// A host receives as much as it sends on average, so this is less than half
/// of the 6 KB a second that control may cost a host in both directions.
pub const SEND_BYTES_PER_S: u32 = 2_600;
/// Bytes that a host may send at once after a quiet time.
pub const SEND_BURST_BYTES: u32 = 48 * 1_024;

/// Token bucket over bytes.
#[derive(Debug)]
pub struct Budget {
    left_bytes: f64,
    filled_at: Instant,
}

impl Budget {
    /// Creates a full bucket.
    pub fn new(now: Instant) -> Self {
        Self {
            left_bytes: f64::from(SEND_BURST_BYTES),
            filled_at: now,
        }
    }

    /// Returns the bytes that may be sent now.
    pub fn left_bytes(&mut self, now: Instant) -> usize {
        let elapsed: Duration = now.saturating_duration_since(self.filled_at);
        self.filled_at = now;
        self.left_bytes += elapsed.as_secs_f64() * f64::from(SEND_BYTES_PER_S);
        self.left_bytes = self.left_bytes.min(f64::from(SEND_BURST_BYTES));
        self.left_bytes.max(0.0) as usize
    }

    /// Takes what was sent out of the bucket, which may go into debt.
    pub fn on_sent(&mut self, sent_bytes: usize) {
        self.left_bytes -= sent_bytes as f64;
    }
}
