//! The time for which an issuer may grant permits.

use std::time::{Duration, Instant, SystemTime};

/// Time for which the store keeps the key of an issuer without a renewal. Requests of
/// the slot are refused for this long if issuer and deputy are lost at once.
pub const LEASE_TTL: Duration = Duration::from_secs(10);
/// Time after the begin of a renewal for which an issuer relies on it. Requests are
/// refused once the store has been down for this long.
pub const LEASE_VALIDITY: Duration = Duration::from_millis(8_500);
/// Pause between renewals; two may fail.
pub const RENEW_PAUSE: Duration = Duration::from_millis(2_500);
/// Pause between the messages of an issuer to its deputy.
pub const BEAT_PAUSE: Duration = Duration::from_millis(200);
/// Time after the begin of a message to the deputy for which an issuer relies on its
/// confirmation. Shorter than the silence after which the deputy takes over.
pub const CONFIRMATION_VALIDITY: Duration = Duration::from_millis(850);
/// Time without a confirmation after which an issuer names another deputy.
pub const MAX_DEPUTY_SILENCE: Duration = Duration::from_millis(600);
/// Time without a renewal after which an issuer looks for a deputy that reaches the
/// store. Two renewals have failed by then, and the lease lasts long enough for the
/// deputy to take over.
const CUT_OFF_AFTER: Duration = Duration::from_millis(4_500);
/// Difference between the progress of the clocks that shows a suspension. Corrections
/// of the wall clock are smaller, or are treated as a suspension.
const MIN_SUSPENSION: Duration = Duration::from_millis(150);

/// The right of an issuer to grant permits.
///
/// Two issuers of one slot would grant twice its quotas. The store removes the key of
/// an issuer no sooner than its lease allows, so the issuer relies on a renewal for
/// less than that, counted from before the renewal was sent. A deputy takes over only
/// after a time without messages, so the issuer relies on a confirmation for less than
/// that, counted from before the message was sent.
///
/// A store that is restored from a copy may forget a lease that its holder still relies
/// on. Its deputy takes over nevertheless, as the holder also relies on its
/// confirmations. Another host that finds the slot vacant waits until any such lease
/// has ended, unless it can tell that the store was not restored.
#[derive(Clone, Copy, Debug)]
pub struct Mandate {
    starts_at: Instant,
    renewed_at: Option<Instant>,
    deputy: DeputyState,
    /// Time at which a key with another deputy was sent, unless the result is known.
    naming_since: Option<Instant>,
    /// Whether such an attempt is under way.
    is_naming: bool,
    /// Whether the result of an earlier attempt is not known.
    is_earlier_unknown: bool,
    /// Number of times that the key was written again in a new era.
    rewrites: u32,
}

/// An attempt to write a key that names another deputy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NamingAttempt {
    /// Number of times that the key had been written again.
    rewrites: u32,
}

#[derive(Clone, Copy, Debug)]
enum DeputyState {
    None,
    Named {
        named_at: Instant,
        /// Time at which the last confirmed message was sent.
        confirmed_at: Option<Instant>,
    },
}

impl Mandate {
    /// Creates the mandate of a host that found the slot vacant and wrote its key under
    /// a lease that it requested at `requested_at`; the write was acknowledged at
    /// `acquired_at`. `is_orderly` tells that no earlier issuer relies on a lease.
    pub fn of_vacant_slot(requested_at: Instant, acquired_at: Instant, is_orderly: bool) -> Self {
        let wait = if is_orderly {
            Duration::ZERO
        } else {
            LEASE_VALIDITY
        };
        Self {
            starts_at: acquired_at + wait,
            renewed_at: Some(requested_at),
            deputy: DeputyState::None,
            naming_since: None,
            is_naming: false,
            is_earlier_unknown: false,
            rewrites: 0,
        }
    }

    /// Creates the mandate of a deputy that has replaced its issuer's key under a lease
    /// that it requested at `requested_at`, and whose issuer relies on no confirmation
    /// from `starts_at` on.
    pub fn of_deputy(requested_at: Instant, starts_at: Instant) -> Self {
        Self::of_vacant_slot(requested_at, starts_at, true)
    }

    /// Returns the earliest time at which permits may be granted.
    pub fn starts_at(&self) -> Instant {
        self.starts_at
    }

    /// Returns whether permits may be granted.
    pub fn allows_grants(&self, now: Instant) -> bool {
        let is_recent = |at: Option<Instant>, validity| at.is_some_and(|at| now < at + validity);
        let is_confirmed = match self.deputy {
            DeputyState::None => {
                self.naming_since.is_none() || is_recent(self.naming_since, CONFIRMATION_VALIDITY)
            }
            DeputyState::Named { confirmed_at, .. } => {
                is_recent(confirmed_at, CONFIRMATION_VALIDITY)
            }
        };
        now >= self.starts_at && is_recent(self.renewed_at, LEASE_VALIDITY) && is_confirmed
    }

    /// Returns whether the deputy has been silent for so long that another has to be
    /// named.
    pub fn is_deputy_silent(&self, now: Instant) -> bool {
        match self.deputy {
            DeputyState::None => false,
            DeputyState::Named {
                named_at,
                confirmed_at,
            } => {
                let heard_at = confirmed_at.map_or(named_at, |at| at.max(named_at));
                now.saturating_duration_since(heard_at) >= MAX_DEPUTY_SILENCE
            }
        }
    }

    /// Returns whether the issuer should hand over to its deputy, because it may grant
    /// permits but has not reached the store for some time.
    pub fn is_cut_off(&self, now: Instant) -> bool {
        let has_deputy = matches!(self.deputy, DeputyState::Named { .. });
        let is_late = |at: Instant| now.saturating_duration_since(at) >= CUT_OFF_AFTER;
        has_deputy && self.allows_grants(now) && self.renewed_at.is_some_and(is_late)
    }

    /// Records that the store has confirmed a renewal that was sent at `sent_at`.
    pub fn on_renewed(&mut self, sent_at: Instant) {
        self.renewed_at = self.renewed_at.max(Some(sent_at));
    }

    /// Records that the deputy has confirmed a message that was sent at `sent_at`.
    ///
    /// Once another deputy may have been named, which takes over if it hears nothing,
    /// the last one's confirmations extend the mandate no further.
    pub fn on_confirmed(&mut self, sent_at: Instant) {
        let sent_at = self.naming_since.map_or(sent_at, |at| at.min(sent_at));
        if let DeputyState::Named { confirmed_at, .. } = &mut self.deputy {
            *confirmed_at = (*confirmed_at).max(Some(sent_at));
        }
    }

    /// Records that a key with another deputy is sent to the store at `now`.
    pub fn on_naming(&mut self, now: Instant) -> NamingAttempt {
        self.is_earlier_unknown = self.naming_since.is_some();
        self.naming_since.get_or_insert(now);
        self.is_naming = true;
        NamingAttempt {
            rewrites: self.rewrites,
        }
    }

    /// Records that the key was written again in a new era, with the deputy that it named
    /// before. An attempt to name another one that is still under way ends later.
    pub fn on_key_written_again(&mut self) {
        self.rewrites = self.rewrites.wrapping_add(1);
        if !self.is_naming {
            self.naming_since = None;
        }
    }

    /// Records that an attempt has ended, and returns whether its result says something
    /// about the key. It says nothing if the key was written again meanwhile, with the
    /// deputy that it named before.
    pub fn on_naming_ended(&mut self, attempt: NamingAttempt) -> bool {
        self.is_naming = false;
        let is_current = attempt.rewrites == self.rewrites;
        if !is_current {
            self.naming_since = None;
        }
        is_current
    }

    /// Records that the last attempt has not written the key. An earlier one whose result
    /// is not known may have done so.
    pub fn on_naming_failed(&mut self) {
        if !self.is_earlier_unknown {
            self.naming_since = None;
        }
    }

    /// Records that the key names a deputy, since `sent_at` or since an earlier attempt
    /// whose result was not known.
    pub fn on_deputy_named(&mut self, sent_at: Instant) {
        let sent_at = self.naming_since.map_or(sent_at, |at| at.min(sent_at));
        let confirmed_at = match self.deputy {
            DeputyState::None => Some(sent_at),
            DeputyState::Named { confirmed_at, .. } => confirmed_at.map(|at| at.min(sent_at)),
        };
        self.deputy = DeputyState::Named {
            named_at: sent_at,
            confirmed_at,
        };
        self.naming_since = None;
    }

    /// Records that the key names no deputy any longer.
    pub fn on_no_deputy(&mut self) {
        self.deputy = DeputyState::None;
        self.naming_since = None;
    }

    /// Records that the process was suspended for a time that its clock may not show.
    pub fn on_suspended(&mut self) {
        self.renewed_at = None;
        if let DeputyState::Named { confirmed_at, .. } = &mut self.deputy {
            *confirmed_at = None;
        }
    }
}

/// Detects that the machine was suspended, for which the monotonic clock may stop.
#[derive(Clone, Copy, Debug)]
pub struct SuspensionGuard {
    monotonic: Instant,
    wall: SystemTime,
}

impl SuspensionGuard {
    /// Creates a guard with the first reading of both clocks.
    pub fn new(monotonic: Instant, wall: SystemTime) -> Self {
        Self { monotonic, wall }
    }

    /// Returns whether the wall clock has advanced further than the monotonic one since
    /// the last call.
    pub fn was_suspended(&mut self, monotonic: Instant, wall: SystemTime) -> bool {
        let by_monotonic = monotonic.saturating_duration_since(self.monotonic);
        let by_wall = wall.duration_since(self.wall).unwrap_or_default();
        *self = Self { monotonic, wall };
        by_wall.saturating_sub(by_monotonic) >= MIN_SUSPENSION
    }
}
