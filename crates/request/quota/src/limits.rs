//! Limits that follow from a quota and the settings for all quotas.

use {
    anyhow::{ensure, Error, Result},
    routing::Quota,
    std::time::Duration,
};

/// Time after the request for a permit within which the permit is used or given up.
pub const MAX_USE_DELAY: Duration = Duration::from_millis(200);
/// Time that a request may take to its server after it was sent, with the difference
/// between the delays of a permit and of the relay that uses it. The slowest path
/// between regions takes 12 ms.
pub const MAX_TRANSIT: Duration = Duration::from_millis(100);
/// Number of buckets that a window is counted in. An expired bucket frees its permits
/// late by at most its length.
const BUCKETS: u32 = 50;

/// Settings for all quotas as read by an adapter, not yet validated.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RawLimits {
    /// Length of the window, in seconds.
    pub window_s: f64,
    /// Share of the requests of a window by which a workspace may exceed its quota.
    pub overage: f64,
    /// Number of requests in a window by which it may exceed its quota beyond that.
    pub slack: f64,
}

/// Validated settings for all quotas.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    window: Duration,
    overage: f64,
    slack: f64,
}

impl TryFrom<RawLimits> for Limits {
    type Error = Error;

    fn try_from(raw: RawLimits) -> Result<Self> {
        ensure!(
            raw.window_s.is_finite() && (0.1..=3_600.0).contains(&raw.window_s),
            "the window of quotas, {} s, is not between 0.1 s and 3,600 s",
            raw.window_s
        );
        ensure!(
            raw.overage.is_finite() && raw.overage >= 0.0,
            "the overage of quotas, {}, is not a finite number of at least 0",
            raw.overage
        );
        ensure!(
            raw.slack.is_finite() && raw.slack >= 0.0,
            "the slack of quotas, {}, is not a finite number of at least 0",
            raw.slack
        );
        Ok(Self {
            window: Duration::from_secs_f64(raw.window_s),
            overage: raw.overage,
            slack: raw.slack,
        })
    }
}

impl Limits {
    /// Returns the length of a bucket.
    pub fn bucket(&self) -> Duration {
        self.window / BUCKETS
    }

    /// Returns the time for which a permit is counted.
    ///
    /// Requests that reach servers within one window have had their permits granted
    /// within this time less one bucket.
    pub fn span(&self) -> Duration {
        self.window + MAX_USE_DELAY + MAX_TRANSIT + self.bucket()
    }

    /// Returns the length of the window.
    pub fn window(&self) -> Duration {
        self.window
    }

    /// Returns the number of requests that the quota allows in a window.
    pub fn allowed(&self, quota: Quota) -> u32 {
        let requests = quota.rate_per_s * self.window.as_secs_f64() + quota.burst;
        (requests.min(f64::from(u32::MAX)) as u32).min(self.bound(quota))
    }

    /// Returns the number of permits that a span may hold in any case: what a caller
    /// that keeps to the rate and the burst can send in it, and three quarters of what
    /// the bound tolerates beyond that.
    ///
    /// Callers near their quota are thus not refused what the bound allows. Requests at
    /// even distances fall on both ends of a span, so one more is counted.
    pub fn normal(&self, quota: Quota) -> u32 {
        let exact = self.exact(quota);
        exact + (self.bound(quota) - exact) / 4 * 3
    }

    /// Returns the number of permits of a span that the quota itself allows.
    fn exact(&self, quota: Quota) -> u32 {
        let permits = quota.rate_per_s * self.span().as_secs_f64() + quota.burst + 1.0;
        (permits.min(f64::from(u32::MAX)) as u32).min(self.bound(quota))
    }

    /// Returns the number of permits that a span may hold of a workspace that is not
    /// recorded as busy: the rest of the bound is left for the next issuer.
    pub fn unrecorded(&self, quota: Quota) -> u32 {
        self.bound(quota) / 2
    }

    /// Returns the number of requests in a window that must not be exceeded.
    pub fn bound(&self, quota: Quota) -> u32 {
        let requests = quota.rate_per_s * self.window.as_secs_f64() + quota.burst;
        let bound = requests * (1.0 + self.overage) + self.slack;
        bound.min(f64::from(u32::MAX)) as u32
    }

    /// Returns the number of permits by which the bound exceeds what the quota itself
    /// allows: what may be granted before the deputy has confirmed it.
    pub fn spare(&self, quota: Quota) -> u32 {
        self.bound(quota).saturating_sub(self.exact(quota))
    }
}
