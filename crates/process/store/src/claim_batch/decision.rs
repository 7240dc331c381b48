//! What one part of a batch comes to.

use {
    crate::{claim::Met, Claim, Claimed, Outcome},
    kind::{Error, Kind, Ran, Result},
};

/// What one part of a batch comes to.
pub(super) enum Decision {
    /// Its claim is written.
    Write,
    /// Its claim is on record already.
    Keep,
    /// The request has run.
    Finished(Outcome),
}

impl Decision {
    /// Returns the decision, or the error of a range that has no room for a write.
    pub(super) fn unless_refused(self, is_refused: bool) -> Result<Self> {
        match self {
            Self::Write if is_refused => {
                let detail = "the log of claims is full until older claims outlive their retention";
                Err(Error::new(Kind::StoreDown, detail).with_ran(Ran::No))
            }
            decision => Ok(decision),
        }
    }
}

impl From<Decision> for Claimed<()> {
    fn from(decision: Decision) -> Self {
        match decision {
            Decision::Write | Decision::Keep => Self::Won(()),
            Decision::Finished(outcome) => Self::Finished(outcome),
        }
    }
}

/// Decides on `claim` by what is on record for its scope.
pub(super) fn decide(claim: &Claim, found: Option<Claim>) -> Result<Decision> {
    let Some(found) = found else {
        return Ok(Decision::Write);
    };
    if claim.outcome().is_some() {
        let is_first = claim.is_of_same_attempt(&found) && found.outcome().is_none();
        return Ok(if is_first {
            Decision::Write
        } else {
            Decision::Keep
        });
    }
    match claim.meet(found)? {
        Met::Own => Ok(Decision::Keep),
        Met::Free => Ok(Decision::Write),
        Met::Finished(outcome) => Ok(Decision::Finished(outcome)),
    }
}
