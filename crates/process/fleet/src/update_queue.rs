//! The queue of updates to gossip.
//!
//! An update is sent until enough peers have reported that they already knew
//! it, and at most a number of times that grows with the logarithm of the
//! number of hosts. The update with the fewest sends goes first, facts before
//! members.

use {
    crate::{FactKey, MergeOutcome},
    record::HostId,
    std::collections::HashMap,
};

/// Number of peers that must report an update as already known before it is dropped.
const KNOWN_LIMIT: u32 = 8;
/// Sends for each doubling of the number of hosts after which an update is dropped.
const SENDS_PER_DOUBLING: u32 = 2;
/// Maximum number of updates in a message.
const MAX_UPDATES_PER_MESSAGE: usize = 64;
/// Maximum number of updates in the queue.
const MAX_QUEUED_UPDATES: usize = 8_192;

/// Key of an update; its content is looked up when it is sent.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Update {
    /// A fact has changed.
    Fact(FactKey),
    /// The entry of a host has changed.
    Member(HostId),
}

#[derive(Clone, Copy, Debug, Default)]
struct Counters {
    sent: u32,
    known: u32,
}

/// Updates to send, with the number of times that each was sent.
#[derive(Debug, Default)]
pub struct UpdateQueue(HashMap<Update, Counters>);

impl UpdateQueue {
    /// Adds an update, or resets its counters.
    pub fn add(&mut self, update: Update) {
        // Updates beyond the limit reach peers by the comparison of groups.
        if self.0.len() < MAX_QUEUED_UPDATES || self.0.contains_key(&update) {
            self.0.insert(update, Counters::default());
        }
    }

    /// Returns the updates to send next, in order.
    pub fn next(&self) -> Vec<Update> {
        let mut updates: Vec<_> = self.0.iter().collect();
        let order = |(update, counters): &(&Update, &Counters)| {
            let is_member = matches!(update, Update::Member(_));
            (is_member, counters.sent, (*update).clone())
        };
        if updates.len() > MAX_UPDATES_PER_MESSAGE {
            updates.select_nth_unstable_by_key(MAX_UPDATES_PER_MESSAGE, order);
            updates.truncate(MAX_UPDATES_PER_MESSAGE);
        }
        updates.sort_unstable_by_key(order);
        updates
            .into_iter()
            .map(|(update, _)| update.clone())
            .collect()
    }

    /// Records that an update was sent, in a fleet of `members` hosts.
    pub fn on_sent(&mut self, update: &Update, members: usize) {
        let limit = SENDS_PER_DOUBLING * (members.max(2).ilog2() + 1);
        if let Some(counters) = self.0.get_mut(update) {
            counters.sent += 1;
            if counters.sent >= limit {
                self.0.remove(update);
            }
        }
    }

    /// Records that a peer already knew an update.
    pub fn on_known(&mut self, update: &Update) {
        if let Some(counters) = self.0.get_mut(update) {
            counters.known += 1;
            if counters.known >= KNOWN_LIMIT {
                self.0.remove(update);
            }
        }
    }

    /// Drops an update whose content no longer exists.
    pub fn remove(&mut self, update: &Update) {
        self.0.remove(update);
    }

    /// Records the result of merging an entry from a peer.
    pub fn on_merge(&mut self, id: &HostId, merged: MergeOutcome) {
        let update = Update::Member(id.clone());
        match merged {
            MergeOutcome::Applied => self.add(update),
            MergeOutcome::AlreadyKnown => self.on_known(&update),
            // Every message carries this host's own entry.
            MergeOutcome::Refuted => {}
        }
    }

    /// Returns the number of updates in the queue.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
