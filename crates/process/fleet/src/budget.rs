//! Token bucket that limits the bytes sent by the exchange.

use std::time::{Duration, Instant};

/// Bytes that a host may send for the exchange in a second, on average.
///
/// On average a host receives as much as it sends, so this is less than half
/// of the 6 KB a second allowed for control traffic in both directions.
pub const SEND_BYTES_PER_S: u32 = 2_600;
/// Capacity of the bucket: bytes that a host may send at once after an idle period.
pub const SEND_BURST_BYTES: u32 = 48 * 1_024;

/// Bytes that a host may send in addition to the bucket, shortly after its
/// start, to join and to answer hosts that join.
///
/// Hosts that all start at once send each other the whole table, 156 KB for
/// 1,300 hosts, several times; averaged over an hour this adds 146 B a second.
pub const STARTUP_BYTES: u32 = 512 * 1_024;
/// Time after its start during which a host has the additional allowance.
pub const STARTUP_TIME: Duration = Duration::from_secs(60);

/// Purpose of the bytes sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// Either side of the exchange has just started.
    Joining,
    /// All other messages.
    Gossip,
}

/// Token bucket over sent bytes, with an additional allowance after the start.
#[derive(Debug)]
pub struct Budget {
    left_bytes: f64,
    filled_at: Instant,
    startup_bytes: usize,
    startup_until: Instant,
}

impl Budget {
    /// Creates a full bucket.
    pub fn new(now: Instant) -> Self {
        Self {
            left_bytes: f64::from(SEND_BURST_BYTES),
            filled_at: now,
            startup_bytes: STARTUP_BYTES as usize,
            startup_until: now + STARTUP_TIME,
        }
    }

    /// Refills the bucket and returns the bytes that may be sent now.
    pub fn left_bytes(&mut self, purpose: Purpose, now: Instant) -> usize {
        let elapsed: Duration = now.saturating_duration_since(self.filled_at);
        self.filled_at = now;
        self.left_bytes += elapsed.as_secs_f64() * f64::from(SEND_BYTES_PER_S);
        self.left_bytes = self.left_bytes.min(f64::from(SEND_BURST_BYTES));
        self.left_bytes.max(0.0) as usize + self.startup_bytes(purpose, now)
    }

    /// Returns whether the startup period is still running.
    pub fn is_starting(&self, now: Instant) -> bool {
        now < self.startup_until
    }

    fn startup_bytes(&self, purpose: Purpose, now: Instant) -> usize {
        match purpose {
            Purpose::Joining if self.is_starting(now) => self.startup_bytes,
            Purpose::Joining | Purpose::Gossip => 0,
        }
    }

    /// Subtracts sent bytes from the allowance and the bucket, whose level may become negative.
    pub fn on_sent(&mut self, sent_bytes: usize, purpose: Purpose, now: Instant) {
        let from_startup = sent_bytes.min(self.startup_bytes(purpose, now));
        self.startup_bytes -= from_startup;
        self.left_bytes -= (sent_bytes - from_startup) as f64;
    }
}
