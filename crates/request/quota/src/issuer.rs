//! Counts of an issuer, and the permits that it grants.

use {
    crate::{Grants, Limits, Window},
    routing::Quota,
    std::{
        collections::HashMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Shortest time after which a caller whose request was refused is told to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Number of permits assumed for a workspace that was recorded as busy: above any bound,
/// such that sums do not overflow.
const ASSUMED_PERMITS: u32 = u32::MAX / 4;

/// What an issuer knows when it begins about the permits of its predecessors.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Knowledge {
    /// Nothing: any window may be full up to the begin.
    Nothing,
    /// The workspaces that were recorded as busy. Of each other one, the predecessor has
    /// granted no more than [`Limits::unrecorded`] in a span.
    Busy,
    /// What the predecessor has copied to its deputy. It may have granted up to the
    /// spare of each quota since.
    Copied,
    /// All: the predecessor has ended with a last copy.
    All,
}

/// Begin of an issuer's mandate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Start {
    /// Time from which on permits could be granted.
    pub at: Instant,
    /// What was known of the permits granted before.
    pub knowledge: Knowledge,
}

impl Start {
    /// Returns the number of permits that earlier issuers may have granted, not known
    /// to this one, and whose time was `at` or earlier.
    fn unknown(&self, limits: &Limits, quota: Quota) -> u32 {
        match self.knowledge {
            Knowledge::Nothing => limits.bound(quota),
            Knowledge::Busy => limits.unrecorded(quota),
            Knowledge::Copied => limits.spare(quota),
            Knowledge::All => 0,
        }
    }
}

/// Answer to the request for permits of one workspace. Permits that are neither
/// granted nor refused have to wait until the deputy has confirmed earlier ones.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Answer {
    /// Number of permits that are granted.
    pub granted: u32,
    /// Number of requests that exceed the quota.
    pub refused: u32,
    /// Time after which a refused request may be repeated.
    pub retry_after: Duration,
}

/// Permits of one workspace, for a deputy.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CopyEntry {
    /// Name of the workspace.
    pub workspace: Arc<str>,
    /// Its permits.
    pub grants: Vec<Grants>,
}

/// Permits of a slot for a deputy: all, or those since the last confirmed copy.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Copy {
    /// Whether the copy replaces what the deputy has.
    pub is_full: bool,
    /// Begins of the issuer and of earlier ones within a span.
    pub starts: Vec<Start>,
    /// Workspaces with permits.
    pub entries: Vec<CopyEntry>,
}

#[derive(Debug, Default)]
struct Ledger {
    window: Window,
    /// Permits that the deputy has not confirmed, including those in a copy under way.
    unconfirmed: u32,
    /// Permits in the copy under way.
    copied: u32,
    /// Whether the workspace is recorded as busy.
    is_recorded: bool,
    /// Whether permits wait for that, or soon will.
    is_record_due: bool,
}

/// The counts of the issuer of a slot.
///
/// Grants permits while the last span or the last window hold fewer than the quota
/// allows, and never lets a span exceed the bound. In the span after the begin of an
/// issuer, those that may have been lost with its predecessor count towards the bound.
#[derive(Debug)]
pub struct Issuer {
    limits: Limits,
    /// Begins within a span, the last one that of this issuer.
    starts: Vec<Start>,
    ledgers: HashMap<Arc<str>, Ledger>,
    /// Whether the deputy, if there is one, has no complete copy yet.
    needs_full_copy: bool,
    /// Whether busy workspaces have to be recorded.
    records_busy: bool,
    /// Time at which the record was lost, including what earlier issuers had recorded, if
    /// it has not been written since and permits of that time still count.
    record_lost_at: Option<Instant>,
}

impl Issuer {
    /// Makes the issuer keep the permits of each workspace below
    /// [`Limits::unrecorded`] until the workspace is recorded as busy.
    ///
    /// If all hosts are lost at once, nobody knows what was granted in the last span.
    /// The record tells the next issuer which few workspaces have to wait for the end of
    /// that span; it can grant the others half of their bound at once.
    pub fn recording_busy(mut self) -> Self {
        self.records_busy = true;
        self
    }

    /// Treats `workspaces`, which a lost issuer had recorded as busy, as if their bound
    /// had been used up at `at`.
    pub fn assume_busy(&mut self, workspaces: impl IntoIterator<Item = Arc<str>>, at: Instant) {
        for workspace in workspaces {
            let ledger = self.ledgers.entry(workspace).or_default();
            ledger.window.insert(Grants {
                began: at,
                count: ASSUMED_PERMITS,
            });
        }
    }

    /// Returns the workspaces to record as busy if any has to be that is not, else
    /// `None`. `quota_of` returns the quota of a workspace.
    ///
    /// The record also names workspaces that have not asked this issuer, but may have used
    /// much of their quota with an earlier one.
    pub fn busy_to_record(
        &self,
        quota_of: impl Fn(&str) -> Option<Quota>,
    ) -> Option<Vec<Arc<str>>> {
        let mut ledgers = self.ledgers.values();
        let is_due = ledgers.any(|ledger| ledger.is_record_due && !ledger.is_recorded);
        let is_lost = self.records_busy && self.record_lost_at.is_some();
        if !(is_due || is_lost) {
            return None;
        }
        let is_much = |workspace: &str, granted| {
            let quota = quota_of(workspace);
            quota.is_some_and(|quota| granted > self.limits.unrecorded(quota) / 2)
        };
        let busy = self.ledgers.iter().filter(|(workspace, ledger)| {
            let granted = ledger.window.granted();
            ledger.is_record_due
                || (ledger.is_recorded && !ledger.window.is_empty())
                || granted >= ASSUMED_PERMITS
                || is_much(workspace, granted)
        });
        let busy: Vec<_> = busy.map(|(workspace, _)| Arc::clone(workspace)).collect();
        (!busy.is_empty()).then_some(busy)
    }

    /// Records that the store has returned from a copy at `now`, which may lack the record.
    /// What was recorded has to be recorded again.
    pub fn on_store_restored(&mut self, now: Instant) {
        self.record_lost_at = Some(now);
        for ledger in self.ledgers.values_mut() {
            ledger.is_record_due |= ledger.is_recorded;
            ledger.is_recorded = false;
        }
    }

    /// Records that the store names `workspaces` as busy, and no others.
    pub fn on_busy_recorded(&mut self, workspaces: &[Arc<str>]) {
        self.record_lost_at = None;
        for (workspace, ledger) in &mut self.ledgers {
            ledger.is_recorded = workspaces.contains(workspace);
            ledger.is_record_due &= !ledger.is_recorded;
        }
    }

    /// Creates the counts of an issuer with its begin, those of earlier ones that its
    /// predecessor told it, and the permits that it knows of.
    pub fn new(limits: Limits, starts: Vec<Start>, known: HashMap<Arc<str>, Window>) -> Self {
        let mut issuer = Self {
            limits,
            starts,
            ledgers: HashMap::new(),
            needs_full_copy: true,
            records_busy: false,
            record_lost_at: None,
        };
        for (workspace, window) in known {
            let ledger = Ledger {
                window,
                ..Ledger::default()
            };
            issuer.ledgers.insert(workspace, ledger);
        }
        issuer
    }

    /// Grants or refuses `count` permits of a workspace; a missing `quota` grants all.
    ///
    /// If there is a deputy, `has_deputy`, at most the spare of the quota may be
    /// granted beyond what it has confirmed.
    pub fn decide(
        &mut self,
        workspace: &Arc<str>,
        quota: Option<Quota>,
        count: u32,
        has_deputy: bool,
        now: Instant,
    ) -> Answer {
        let span = self.limits.span();
        let bucket = self.limits.bucket();
        self.remove_old_starts(now);
        let ledger = self.ledgers.entry(Arc::clone(workspace)).or_default();
        let Some(quota) = quota else {
            ledger.window.expire(now, span);
            ledger.window.grant(count, now, bucket);
            ledger.unconfirmed = ledger.unconfirmed.saturating_add(count);
            return Answer {
                granted: count,
                ..Answer::default()
            };
        };
        ledger.window.expire(now, span);
        let unknown = self
            .starts
            .iter()
            .map(|start| start.unknown(&self.limits, quota));
        let unknown = unknown.fold(0, u32::saturating_add);
        let granted = ledger.window.granted();
        let mut below_limit = self.limits.normal(quota).saturating_sub(granted);
        if below_limit < count {
            let in_window = ledger.window.granted_within(self.limits.window(), now);
            let allowed = self.limits.allowed(quota).saturating_sub(in_window);
            below_limit = below_limit.max(allowed);
        }
        // Holds for any two windows that overlap in a span.
        let below_bound = self.limits.bound(quota).saturating_sub(granted);
        let below_bound = below_bound.saturating_sub(unknown);
        let below_limit = count.min(below_limit).min(below_bound);
        let unconfirmed_limit = if has_deputy {
            // Without any spare, each permit waits for the confirmation of the last one.
            self.limits.spare(quota).max(1)
        } else {
            u32::MAX
        };
        let mut unrecorded_limit = u32::MAX;
        if self.records_busy && !ledger.is_recorded {
            let limit = self.limits.unrecorded(quota);
            unrecorded_limit = limit.saturating_sub(granted);
            ledger.is_record_due |= granted.saturating_add(count) > limit / 4 * 3;
        }
        let granted = below_limit
            .min(unconfirmed_limit.saturating_sub(ledger.unconfirmed))
            .min(unrecorded_limit);
        ledger.window.grant(granted, now, bucket);
        ledger.unconfirmed = ledger.unconfirmed.saturating_add(granted);
        let next_expiry = ledger.window.next_expiry(now, span);
        let first_start = self.starts.first();
        let next_start = first_start.map(|start| (start.at + span).saturating_duration_since(now));
        let retry_after = next_expiry.or(next_start).unwrap_or(bucket);
        Answer {
            granted,
            refused: count - below_limit,
            retry_after: retry_after.max(MIN_RETRY_AFTER),
        }
    }

    /// Returns whether a workspace has used half of the permits that it may use before
    /// the deputy confirms them, so that a copy is due.
    pub fn is_copy_due(&self, workspace: &str, quota: Quota) -> bool {
        let ledger = self.ledgers.get(workspace);
        let unconfirmed = ledger.map_or(0, |ledger| ledger.unconfirmed);
        unconfirmed > self.limits.spare(quota) / 2
    }

    /// Returns what the deputy does not have. Each copy has to be followed by
    /// [`on_copy_confirmed`](Self::on_copy_confirmed) or
    /// [`on_copy_lost`](Self::on_copy_lost) before the next one.
    pub fn copy(&mut self, now: Instant) -> Copy {
        let is_full = self.needs_full_copy;
        let span = self.limits.span();
        self.remove_old_starts(now);
        let mut entries = Vec::new();
        for (workspace, ledger) in &mut self.ledgers {
            ledger.window.expire(now, span);
            ledger.copied = ledger.unconfirmed;
            let grants: Vec<Grants> = if is_full {
                ledger.window.grants().copied().collect()
            } else {
                let new = Grants {
                    began: now,
                    count: ledger.unconfirmed,
                };
                [new].into_iter().filter(|new| new.count > 0).collect()
            };
            if !grants.is_empty() {
                entries.push(CopyEntry {
                    workspace: Arc::clone(workspace),
                    grants,
                });
            }
        }
        Copy {
            is_full,
            starts: self.starts.clone(),
            entries,
        }
    }

    /// Records that the deputy has taken the last copy.
    pub fn on_copy_confirmed(&mut self, was_full: bool) {
        self.needs_full_copy &= !was_full;
        for ledger in self.ledgers.values_mut() {
            ledger.unconfirmed = ledger.unconfirmed.saturating_sub(ledger.copied);
            ledger.copied = 0;
        }
    }

    /// Records that it is not known whether the deputy has taken the last copy. It gets
    /// the same permits again, and may count them twice.
    pub fn on_copy_lost(&mut self) {
        for ledger in self.ledgers.values_mut() {
            ledger.copied = 0;
        }
    }

    /// Records that another host is the deputy now, which has no copy yet.
    pub fn on_deputy_changed(&mut self) {
        self.needs_full_copy = true;
        for ledger in self.ledgers.values_mut() {
            ledger.copied = 0;
        }
    }

    fn remove_old_starts(&mut self, now: Instant) {
        let span = self.limits.span();
        let is_recent = |start: &Start| now.saturating_duration_since(start.at) < span;
        self.starts.retain(is_recent);
    }

    /// Drops the workspaces without permits in the last span.
    pub fn remove_idle(&mut self, now: Instant) {
        let span = self.limits.span();
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < span;
        self.record_lost_at = self.record_lost_at.filter(is_recent);
        self.ledgers.retain(|_, ledger| {
            ledger.window.expire(now, span);
            !ledger.window.is_empty() || ledger.unconfirmed > 0
        });
    }

    /// Returns the number of workspaces with permits in the last span.
    pub fn len(&self) -> usize {
        self.ledgers.len()
    }

    /// Returns whether no workspace has permits in the last span.
    pub fn is_empty(&self) -> bool {
        self.ledgers.is_empty()
    }
}
