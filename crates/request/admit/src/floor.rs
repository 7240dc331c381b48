//! Scheduling between ranks: strict priority with a guaranteed minimum share.
//!
//! The floor of a rank is its guaranteed share of admissions. Each admission
//! adds the floor of every rank to the credit of that rank, and takes one
//! credit from the admitted rank. A rank that has at least one credit and
//! queries waiting is served before more urgent ranks. Credit is capped, so
//! that a rank cannot accumulate enough for a burst, and admissions that a
//! rank does not use go to the other ranks.

use record::{ByRank, Rank};

/// Maximum credit of a rank, in admissions.
const MAX_CREDIT: f64 = 2.0;

#[derive(Debug)]
pub(crate) struct Floors {
    share: ByRank<f64>,
    credit: ByRank<f64>,
}

impl Floors {
    pub(crate) fn new(share: ByRank<f64>) -> Self {
        Self {
            share,
            credit: ByRank::default(),
        }
    }

    pub(crate) fn set_share(&mut self, share: ByRank<f64>) {
        self.share = share;
    }

    /// Returns the rank to admit from next, among those with queries waiting.
    pub(crate) fn next(&self, is_waiting: impl Fn(Rank) -> bool) -> Option<Rank> {
        let mut best: Option<(Rank, f64)> = None;
        for (rank, credit) in self.credit.iter() {
            let is_candidate = *credit >= 1.0 && is_waiting(rank);
            if is_candidate && best.is_none_or(|(_, highest)| *credit > highest) {
                best = Some((rank, *credit));
            }
        }
        best.map(|(rank, _)| rank)
            .or_else(|| Rank::ALL.into_iter().find(|rank| is_waiting(*rank)))
    }

    /// Returns whether `rank` has enough credit for an admission.
    pub(crate) fn has_credit(&self, rank: Rank) -> bool {
        *self.credit.get(rank) >= 1.0
    }

    pub(crate) fn on_admit(&mut self, admitted: Rank) {
        for rank in Rank::ALL {
            let share = *self.share.get(rank);
            let credit = self.credit.get_mut(rank);
            *credit = (*credit + share).min(MAX_CREDIT);
            if rank == admitted {
                *credit = (*credit - 1.0).max(0.0);
            }
        }
    }
}
