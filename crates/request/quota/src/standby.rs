//! The copy that a deputy keeps of an issuer's counts.

use {
    crate::{Copy, Issuer, Knowledge, Limits, Mandate, Start, Window},
    std::{
        collections::HashMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Number that identifies an issuer's hold of a slot, drawn at random.
pub type Term = u64;

/// Time without a message from the issuer after which the deputy takes over. Longer
/// than the issuer relies on a confirmation, as their clocks may differ in speed.
pub const TAKEOVER_DELAY: Duration = Duration::from_millis(1_000);

/// What a deputy knows of the permits that its issuer has granted.
#[derive(Clone, Debug)]
pub struct Standby {
    term: Term,
    heard_at: Instant,
    windows: HashMap<Arc<str>, Window>,
    /// Begins of the issuer and of earlier ones.
    starts: Vec<Start>,
    /// Whether a full copy has arrived.
    is_complete: bool,
    /// Whether the issuer has ended.
    has_ended: bool,
}

impl Standby {
    /// Creates the state of a deputy that has heard of its issuer's term at `now`.
    pub fn new(term: Term, now: Instant) -> Self {
        Self {
            term,
            heard_at: now,
            windows: HashMap::new(),
            starts: Vec::new(),
            is_complete: false,
            has_ended: false,
        }
    }

    /// Returns the term of the issuer.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Records a message of the issuer that arrived at `now`; `is_last` tells that it
    /// grants nothing more.
    pub fn on_copy(&mut self, copy: Copy, is_last: bool, limits: &Limits, now: Instant) {
        self.heard_at = now;
        self.has_ended |= is_last;
        if copy.is_full {
            self.windows.clear();
            self.is_complete = true;
        }
        self.starts = copy.starts;
        for entry in copy.entries {
            let window = self.windows.entry(entry.workspace).or_default();
            for grants in entry.grants {
                window.insert(grants);
            }
        }
        self.windows.retain(|_, window| {
            window.expire(now, limits.span());
            !window.is_empty()
        });
    }

    /// Returns whether a full copy has arrived.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns whether the deputy has to take over: the issuer has ended, or relies on
    /// no confirmation any longer.
    pub fn is_takeover_due(&self, now: Instant) -> bool {
        self.has_ended || now.saturating_duration_since(self.heard_at) >= TAKEOVER_DELAY
    }

    /// Returns the time at which the takeover is due if no further message arrives.
    pub fn takeover_at(&self) -> Instant {
        self.heard_at + TAKEOVER_DELAY
    }

    /// Returns the time from which on a deputy that confirms nothing more and has
    /// replaced the key of its issuer at `now` may grant permits.
    pub fn starts_at(&self, now: Instant) -> Instant {
        if self.has_ended {
            now
        } else {
            now.max(self.takeover_at())
        }
    }

    /// Returns the counts and the mandate of a deputy that has replaced the key of its
    /// issuer at `now`, under a lease that it requested at `requested_at`.
    ///
    /// If the store has returned from a copy since the deputy heard of the key,
    /// `is_restored`, the issuer may have had another deputy and granted more than the
    /// copy tells. The deputy then begins like a host that knows nothing.
    pub fn take_over(
        mut self,
        limits: Limits,
        requested_at: Instant,
        now: Instant,
        is_restored: bool,
        busy: Option<Vec<Arc<str>>>,
    ) -> (Issuer, Mandate) {
        let starts_at = self.starts_at(now);
        if !is_restored {
            let mandate = Mandate::of_deputy(requested_at, starts_at);
            return (self.into_issuer(limits, starts_at, busy), mandate);
        }
        let mandate = Mandate::of_vacant_slot(requested_at, starts_at, false);
        self.is_complete = false;
        (self.into_issuer(limits, mandate.starts_at(), None), mandate)
    }

    /// Returns the counts with which the deputy begins as the issuer at `starts_at`.
    ///
    /// `busy` names the workspaces that are recorded as busy, if this is known. A deputy
    /// without a full copy relies on it.
    pub fn into_issuer(
        self,
        limits: Limits,
        starts_at: Instant,
        busy: Option<Vec<Arc<str>>>,
    ) -> Issuer {
        let busy = busy.filter(|_| !self.is_complete);
        let knowledge = match (self.is_complete, self.has_ended) {
            (false, _) if busy.is_some() => Knowledge::Busy,
            (false, _) => Knowledge::Nothing,
            (true, false) => Knowledge::Copied,
            (true, true) => Knowledge::All,
        };
        let mut starts = self.starts;
        starts.push(Start {
            at: starts_at,
            knowledge,
        });
        let mut issuer = Issuer::new(limits, starts, self.windows);
        issuer.assume_busy(busy.unwrap_or_default(), starts_at);
        issuer
    }
}
