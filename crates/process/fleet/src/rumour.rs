//! The queue of what is still to be told.
//!
//! A rumour is told until peers have answered often enough that they knew it, and at
//! most a number of times that grows with the logarithm of the fleet. The
//! least told goes first, facts before members.

use {
    crate::{FactKey, Merged},
    record::HostId,
    std::collections::HashMap,
};

/// Number of peers that must have known a rumour before it is dropped.
const KNOWN_LIMIT: u32 = 8;
/// Tellings for each doubling of the fleet after which a rumour is dropped.
const TELLINGS_PER_DOUBLING: u32 = 2;
/// Largest number of rumours in a message.
const MAX_RUMOURS_TOLD: usize = 64;
/// Largest number of rumours in the queue.
const MAX_RUMOURS: usize = 8_192;

/// What a rumour is about; its content is looked up when it is told.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Rumour {
    /// A fact.
    Fact(FactKey),
    /// The entry of a host.
    Member(HostId),
}

#[derive(Clone, Copy, Debug, Default)]
struct Told {
    times: u32,
    known: u32,
}

/// Rumours by what they are about.
#[derive(Debug, Default)]
pub struct Rumours(HashMap<Rumour, Told>);

impl Rumours {
    /// Adds a rumour, or starts it afresh.
    pub fn add(&mut self, rumour: Rumour) {
        // Whatever the queue has no room for is repaired group by group.
        if self.0.len() < MAX_RUMOURS || self.0.contains_key(&rumour) {
            self.0.insert(rumour, Told::default());
        }
    }

    /// Returns the rumours that are to be told next, in order.
    pub fn next(&self) -> Vec<Rumour> {
        let mut rumours: Vec<_> = self.0.iter().collect();
        let order = |(rumour, told): &(&Rumour, &Told)| {
            let is_member = matches!(rumour, Rumour::Member(_));
            (is_member, told.times, (*rumour).clone())
        };
        if rumours.len() > MAX_RUMOURS_TOLD {
            rumours.select_nth_unstable_by_key(MAX_RUMOURS_TOLD, order);
            rumours.truncate(MAX_RUMOURS_TOLD);
        }
        rumours.sort_unstable_by_key(order);
        rumours
            .into_iter()
            .map(|(rumour, _)| rumour.clone())
            .collect()
    }

    /// Notes that a rumour was told in a fleet of `members` hosts.
    pub fn on_told(&mut self, rumour: &Rumour, members: usize) {
        let limit = TELLINGS_PER_DOUBLING * (members.max(2).ilog2() + 1);
        if let Some(told) = self.0.get_mut(rumour) {
            told.times += 1;
            if told.times >= limit {
                self.0.remove(rumour);
            }
        }
    }

    /// Notes that a peer knew a rumour already.
    pub fn on_known(&mut self, rumour: &Rumour) {
        if let Some(told) = self.0.get_mut(rumour) {
            told.known += 1;
            if told.known >= KNOWN_LIMIT {
                self.0.remove(rumour);
            }
        }
    }

    /// Drops a rumour that is no longer true.
    pub fn remove(&mut self, rumour: &Rumour) {
        self.0.remove(rumour);
    }

    /// Notes what became of an entry that a peer told.
    pub fn on_merged(&mut self, id: &HostId, merged: Merged) {
        let rumour = Rumour::Member(id.clone());
        match merged {
            Merged::News => self.add(rumour),
            Merged::Known => self.on_known(&rumour),
            // The own entry goes with every message.
            Merged::Refuted => {}
        }
    }

    /// Returns the number of rumours in the queue.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether nothing is left to tell.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
