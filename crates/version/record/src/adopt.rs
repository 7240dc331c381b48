//! Rules by which a host decides whether to replace its current head with another.
//!
//! Hosts adopt only higher revisions, so that an accepted configuration is
//! never reverted. A store that was restored to an older state has either a
//! lower revision or, after new commits, a revision that a different operation
//! created. Hosts reject both and keep their current head.

use crate::{Head, HeadId, Operation};

/// Source of a candidate head.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Source {
    /// The platform's store, whose revision decreases only if it is restored.
    Store,
    /// A peer, which may have an older head.
    Peer,
}

/// Result of comparing a candidate head with the current one.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Adoption {
    /// The candidate is newer and replaces the current head.
    Adopt,
    /// The candidate is the current head.
    Same,
    /// The candidate is older and comes from a peer that has not caught up.
    Lagging,
    /// The candidate is older and comes from the store, which was restored to an older state.
    Reverted,
    /// The candidate does not descend from the current head.
    Forked,
}

/// Decides whether a host replaces the head `current` with `candidate`.
pub fn check_adoption(current: &HeadId, candidate: &Head, source: Source) -> Adoption {
    if candidate.revision < current.revision {
        return match source {
            Source::Store => Adoption::Reverted,
            Source::Peer => Adoption::Lagging,
        };
    }
    if candidate.generation > current.generation && candidate.revision > current.revision {
        return Adoption::Adopt;
    }
    if candidate.revision == current.revision {
        return if candidate.id() == *current {
            Adoption::Same
        } else {
            Adoption::Forked
        };
    }
    if candidate.generation < current.generation || !descends_from(current, candidate) {
        return Adoption::Forked;
    }
    Adoption::Adopt
}

/// Returns whether `candidate` descends from `current`, as far as its
/// retained operations show.
fn descends_from(current: &HeadId, candidate: &Head) -> bool {
    let created_current = |operation: &&Operation| operation.revision == current.revision;
    candidate
        .operations
        .iter()
        .find(created_current)
        .is_none_or(|operation| operation.operation_id == current.operation_id)
}
