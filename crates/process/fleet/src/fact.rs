//! Expiring key-value facts that hosts share with their peers.
//!
//! Facts are opaque here: the component that publishes one sets its topic,
//! subject and value, and reads the facts that peers publish under the same
//! topic. Facts expire, so that a host rejoining after a network partition
//! cannot revive an old one.

use {
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Maximum number of facts that a host stores.
pub const MAX_FACTS: usize = 4_096;
/// Maximum lifetime of a fact.
pub const MAX_FACT_AGE: Duration = Duration::from_secs(3_600);
/// Maximum size of a fact, in bytes.
pub const MAX_FACT_BYTES: usize = 1_024;

/// Identifies a fact.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct FactKey {
    /// Component that the fact belongs to, such as `drain` or `quarantine`.
    pub topic: String,
    /// Subject within the topic, such as the address of a server.
    pub subject: String,
}

/// A fact with its remaining lifetime.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fact {
    /// Topic and subject.
    pub key: FactKey,
    /// Value, in the encoding of the topic.
    pub value: String,
    /// Increases with each change of the same fact.
    pub stamp: u64,
    /// Time until the fact expires.
    pub time_left: Duration,
}

#[derive(Debug)]
struct StoredFact {
    value: String,
    stamp: u64,
    expires_at: Instant,
    hash: u64,
}

/// The facts stored on a host.
#[derive(Debug, Default)]
pub struct Facts {
    stored: HashMap<FactKey, StoredFact>,
    /// XOR of the hashes of all facts, so that each change updates it in constant time.
    combined_hash: u64,
}

impl Facts {
    /// Merges a fact and returns whether it was new.
    ///
    /// Of two facts with the same key the higher stamp wins, and of two with
    /// the same stamp the greater value, so that all hosts converge.
    pub fn merge(&mut self, fact: Fact, now: Instant) -> bool {
        let size = fact.key.topic.len() + fact.key.subject.len() + fact.value.len();
        if fact.time_left.is_zero() || size > MAX_FACT_BYTES {
            return false;
        }
        let is_new = self
            .stored
            .get(&fact.key)
            .is_none_or(|stored| (fact.stamp, &fact.value) > (stored.stamp, &stored.value));
        if is_new {
            self.insert(fact, now);
            self.enforce_limit();
        }
        is_new
    }

    /// Returns a fact that has not expired.
    pub fn get(&self, key: &FactKey, now: Instant) -> Option<Fact> {
        let stored = self
            .stored
            .get(key)
            .filter(|stored| stored.expires_at > now)?;
        Some(Fact {
            key: key.clone(),
            value: stored.value.clone(),
            stamp: stored.stamp,
            time_left: stored.expires_at - now,
        })
    }

    /// Returns the keys of all facts.
    pub fn keys(&self) -> impl Iterator<Item = &FactKey> {
        self.stored.keys()
    }

    /// Removes expired facts.
    pub fn remove_expired(&mut self, now: Instant) {
        let combined_hash = &mut self.combined_hash;
        self.stored.retain(|_, stored| {
            let is_retained = stored.expires_at > now;
            if !is_retained {
                *combined_hash ^= stored.hash;
            }
            is_retained
        });
    }

    /// Returns a fingerprint of all facts, equal on hosts with equal facts.
    pub fn fingerprint(&self) -> u32 {
        (self.combined_hash ^ (self.combined_hash >> 32)) as u32
    }

    fn insert(&mut self, fact: Fact, now: Instant) {
        let text = format!("{}\0{}\0{}", fact.key.topic, fact.key.subject, fact.stamp);
        let stored = StoredFact {
            value: fact.value,
            stamp: fact.stamp,
            expires_at: now + fact.time_left.min(MAX_FACT_AGE),
            hash: xxh3_64(text.as_bytes()),
        };
        self.combined_hash ^= stored.hash;
        if let Some(previous) = self.stored.insert(fact.key, stored) {
            self.combined_hash ^= previous.hash;
        }
    }

    fn enforce_limit(&mut self) {
        if self.stored.len() <= MAX_FACTS {
            return;
        }
        let soonest = self
            .stored
            .iter()
            .min_by_key(|(_, stored)| stored.expires_at);
        if let Some(key) = soonest.map(|(key, _)| key.clone()) {
            if let Some(previous) = self.stored.remove(&key) {
                self.combined_hash ^= previous.hash;
            }
        }
    }
}
