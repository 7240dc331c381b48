//! The order of adoption: which head a host takes in place of the one it has.
//!
//! Hosts adopt only higher revisions, so that an accepted configuration never
//! reverts. A store that was restored to an older state shows either a lower
//! revision or, once somebody has written to it again, a revision that other
//! operations have made. Both are refused; what is in force stays in force.

use crate::{Head, HeadId, Operation};

/// Where an offered head comes from.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Source {
    /// The platform's store, which never goes back unless it was restored.
    Store,
    /// A peer, which may lag.
    Peer,
}

/// What to do with an offered head.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Verdict {
    /// Adopt it.
    Adopt,
    /// It is in force already.
    Same,
    /// It is older and comes from a peer that lags.
    Lagging,
    /// It is older and comes from the store, which was restored.
    Reverted,
    /// It does not descend from what is in force.
    Forked,
}

/// Judges a head that is offered in place of `held`.
pub fn judge(held: &HeadId, offered: &Head, source: Source) -> Verdict {
    if offered.revision < held.revision {
        return match source {
            Source::Store => Verdict::Reverted,
            Source::Peer => Verdict::Lagging,
        };
    }
    if offered.generation > held.generation && offered.revision > held.revision {
        return Verdict::Adopt;
    }
    if offered.revision == held.revision {
        return if offered.id() == *held {
            Verdict::Same
        } else {
            Verdict::Forked
        };
    }
    if offered.generation < held.generation || !descends(held, offered) {
        return Verdict::Forked;
    }
    Verdict::Adopt
}

/// Returns whether `offered` was made on top of `held`, as far as its operations tell.
fn descends(held: &HeadId, offered: &Head) -> bool {
    let made_held = |operation: &&Operation| operation.revision == held.revision;
    offered
        .operations
        .iter()
        .find(made_held)
        .is_none_or(|operation| operation.operation_id == held.operation_id)
}
