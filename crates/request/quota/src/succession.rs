//! Which key of a slot a host may replace with its own, and what it may conclude from it.

use crate::Term;

/// The key of a slot as found in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FoundKey<'a> {
    /// Term of the issuer.
    pub term: Term,
    /// Identifier of the deputy.
    pub deputy: Option<&'a str>,
}

/// The reason for which a host writes its key.
///
/// When the store has returned from a copy, the revision that the host knows says nothing
/// about the key that the store has. The key may be that of an issuer which is alive, so
/// it is replaced only if the reason still holds for it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Claim<'a> {
    /// The slot is vacant.
    Vacancy,
    /// The host `own` is the deputy of the issuer with this term.
    Deputyship {
        /// Term of the issuer.
        issuer: Term,
        /// Identifier of the host.
        own: &'a str,
    },
    /// An earlier process of the host has held the slot with this term.
    Restart(Term),
    /// The host holds the slot with this term, as the former deputy of another issuer.
    Hold {
        /// Term of the host.
        own: Term,
        /// Term of the issuer that it has replaced.
        former: Option<Term>,
    },
}

impl Claim<'_> {
    /// Returns whether the key that was found, if any, may be replaced.
    pub fn may_replace(&self, found: Option<FoundKey<'_>>) -> bool {
        let Some(found) = found else { return true };
        match *self {
            Self::Vacancy => false,
            Self::Deputyship { issuer, own } => found.term == issuer && found.deputy == Some(own),
            Self::Restart(term) => found.term == term,
            Self::Hold { own, former } => found.term == own || Some(found.term) == former,
        }
    }
}

/// What a host knows of the store when it takes a slot without a copy of its counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Vacancy {
    /// Whether all writers have had time to write again what a return of the store has
    /// lost, and the host has read it. Always true for a store that has never returned.
    pub is_settled: bool,
    /// Whether the store has returned from a copy before.
    pub was_restored: bool,
    /// Whether the host has known the last holder of the slot in this era.
    pub knows_holder: bool,
    /// Whether the fleet is new and the host knows of no earlier holder.
    pub is_first: bool,
}

impl Vacancy {
    /// Returns whether no earlier issuer relies on a lease, and the record of busy
    /// workspaces is complete.
    ///
    /// A store that has returned from a copy and has not settled may have lost the key of
    /// an issuer, or may have an old one that has been replaced since.
    pub fn is_orderly(&self) -> bool {
        self.is_settled && (self.knows_holder || (self.is_first && !self.was_restored))
    }
}
