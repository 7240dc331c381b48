//! Decides on one operation of a batch.

use {
    crate::{claim::ExistingClaim, Claim, ClaimResult, Outcome},
    kind::{Error, Kind, Ran, Result},
};

/// Decision on one operation of a batch.
pub(super) enum Decision {
    /// The claim must be written.
    Write,
    /// The stored claim stays as it is.
    Keep,
    /// Another attempt has finished with this outcome.
    Finished(Outcome),
}

impl Decision {
    /// Returns an error if the decision is a write and the range refuses writes.
    pub(super) fn refuse_write_if(self, is_refused: bool) -> Result<Self> {
        match self {
            Self::Write if is_refused => {
                let detail = "the claim log is full until the retention of older claims ends";
                Err(Error::new(Kind::StoreDown, detail).with_ran(Ran::No))
            }
            decision => Ok(decision),
        }
    }
}

impl From<Decision> for ClaimResult<()> {
    fn from(decision: Decision) -> Self {
        match decision {
            Decision::Write | Decision::Keep => Self::Held(()),
            Decision::Finished(outcome) => Self::Finished(outcome),
        }
    }
}

/// Decides on `claim` given the stored claim of its scope.
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
    match claim.compare_with_existing(found)? {
        ExistingClaim::Own => Ok(Decision::Keep),
        ExistingClaim::Available => Ok(Decision::Write),
        ExistingClaim::Finished(outcome) => Ok(Decision::Finished(outcome)),
    }
}
