//! Permits of one workspace in a sliding window.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Permits that were granted at about the same time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Grants {
    /// Time of the first one.
    pub began: Instant,
    /// Number of permits.
    pub count: u32,
}

/// Permits in a sliding window, counted in buckets. A bucket begins with a permit and
/// expires as a whole, so that an idle workspace takes no memory.
#[derive(Clone, Debug, Default)]
pub struct Window {
    /// Oldest first.
    buckets: VecDeque<Grants>,
    granted: u32,
}

impl Window {
    /// Adds permits granted at `now` to the bucket of that time, which is `bucket` long.
    pub fn grant(&mut self, count: u32, now: Instant, bucket: Duration) {
        if count == 0 {
            return;
        }
        self.granted = self.granted.saturating_add(count);
        let is_current = |last: &&mut Grants| now.saturating_duration_since(last.began) < bucket;
        match self.buckets.back_mut().filter(is_current) {
            Some(last) => last.count = last.count.saturating_add(count),
            None => self.buckets.push_back(Grants { began: now, count }),
        }
    }

    /// Adds permits of an earlier issuer.
    pub fn insert(&mut self, grants: Grants) {
        if grants.count == 0 {
            return;
        }
        self.granted = self.granted.saturating_add(grants.count);
        let later = self.buckets.iter().rev();
        let later = later.take_while(|known| known.began > grants.began).count();
        self.buckets.insert(self.buckets.len() - later, grants);
    }

    /// Drops the buckets that began `span` before `now` or earlier.
    pub fn expire(&mut self, now: Instant, span: Duration) {
        while let Some(expired) = self.buckets.front().copied() {
            if now.saturating_duration_since(expired.began) < span {
                break;
            }
            self.buckets.pop_front();
            self.granted = self.granted.saturating_sub(expired.count);
        }
    }

    /// Returns the number of permits.
    pub fn granted(&self) -> u32 {
        self.granted
    }

    /// Returns the number of permits in buckets that began less than `window` before
    /// `now`.
    pub fn granted_within(&self, window: Duration, now: Instant) -> u32 {
        let latest = self.buckets.iter().rev();
        let recent =
            latest.take_while(|grants| now.saturating_duration_since(grants.began) < window);
        recent.map(|grants| grants.count).sum()
    }

    /// Returns whether the window holds nothing.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Returns the time from `now` until the oldest bucket expires.
    pub fn next_expiry(&self, now: Instant, span: Duration) -> Option<Duration> {
        let oldest = self.buckets.front()?;
        Some((oldest.began + span).saturating_duration_since(now))
    }

    /// Returns the buckets, oldest first.
    pub fn grants(&self) -> impl Iterator<Item = &Grants> {
        self.buckets.iter()
    }
}
