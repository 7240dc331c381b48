//! Token bucket over the bytes that the exchange sends.

use std::time::{Duration, Instant};

/// Bytes that a host may send for the exchange in a second, on average.
///
/// A host receives as much as it sends on average, so this is less than half
/// of the 6 KB a second that control may cost a host in both directions.
pub const SEND_BYTES_PER_S: u32 = 2_600;
/// Bytes that a host may send at once after a quiet time.
pub const SEND_BURST_BYTES: u32 = 48 * 1_024;

/// Bytes beside the bucket that a young host may send as it joins and to hosts
/// that join.
///
/// Hosts that all start at once tell each other the whole table, of 156 KB for
/// 1,300 hosts, several times over; in an hour this adds 146 B a second.
pub const YOUNG_BYTES: u32 = 512 * 1_024;
/// Time for which a host is young.
pub const YOUNG_TIME: Duration = Duration::from_secs(60);

/// What bytes are sent for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// Either side of the exchange has just started.
    Joining,
    /// Anything else.
    News,
}

/// Token bucket over bytes.
#[derive(Debug)]
pub struct Budget {
    left_bytes: f64,
    filled_at: Instant,
    young_bytes: usize,
    young_until: Instant,
}

impl Budget {
    /// Creates a full bucket.
    pub fn new(now: Instant) -> Self {
        Self {
            left_bytes: f64::from(SEND_BURST_BYTES),
            filled_at: now,
            young_bytes: YOUNG_BYTES as usize,
            young_until: now + YOUNG_TIME,
        }
    }

    /// Returns the bytes that may be sent now.
    pub fn left_bytes(&mut self, purpose: Purpose, now: Instant) -> usize {
        let elapsed: Duration = now.saturating_duration_since(self.filled_at);
        self.filled_at = now;
        self.left_bytes += elapsed.as_secs_f64() * f64::from(SEND_BYTES_PER_S);
        self.left_bytes = self.left_bytes.min(f64::from(SEND_BURST_BYTES));
        self.left_bytes.max(0.0) as usize + self.young_bytes(purpose, now)
    }

    /// Returns whether the host has started a short time ago.
    pub fn is_young(&self, now: Instant) -> bool {
        now < self.young_until
    }

    fn young_bytes(&self, purpose: Purpose, now: Instant) -> usize {
        match purpose {
            Purpose::Joining if self.is_young(now) => self.young_bytes,
            Purpose::Joining | Purpose::News => 0,
        }
    }

    /// Takes what was sent out of the bucket, which may go into debt.
    pub fn on_sent(&mut self, sent_bytes: usize, purpose: Purpose, now: Instant) {
        let from_young = sent_bytes.min(self.young_bytes(purpose, now));
        self.young_bytes -= from_young;
        self.left_bytes -= (sent_bytes - from_young) as f64;
    }
}
