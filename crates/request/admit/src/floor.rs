//! The order between ranks: urgent first, above a floor for each rank.
//!
//! Each admission earns every rank its floor share as credit, and costs the
//! admitted rank one. A rank with a whole credit and queries waiting is due
//! before more urgent work. Credit is capped, so that a rank cannot save up a
//! burst, and what a rank leaves unused goes to the others.

use record::{ByRank, Rank};

/// Most credit that a rank can hold, in admissions.
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

    /// Returns the rank to admit next among those that are waiting.
    pub(crate) fn next(&self, is_waiting: impl Fn(Rank) -> bool) -> Option<Rank> {
        let mut due: Option<(Rank, f64)> = None;
        for (rank, credit) in self.credit.iter() {
            let is_due = *credit >= 1.0 && is_waiting(rank);
            if is_due && due.is_none_or(|(_, most)| *credit > most) {
                due = Some((rank, *credit));
            }
        }
        due.map(|(rank, _)| rank)
            .or_else(|| Rank::ALL.into_iter().find(|rank| is_waiting(*rank)))
    }

    /// Returns whether a rank has earned an admission.
    pub(crate) fn is_due(&self, rank: Rank) -> bool {
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
