//! Short-lived facts that a host learns and tells its peers.
//!
//! A fact is opaque here: the part that tells it gives it a topic, a key and
//! a value, and takes what peers tell under the same topic. Facts expire, so
//! that a host which was cut off cannot keep an old one alive.

use {
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Largest number of facts that a host holds.
pub const MAX_FACTS: usize = 4_096;
/// Longest time for which a fact holds.
pub const MAX_FACT_AGE: Duration = Duration::from_secs(3_600);
/// Largest size of a fact, in bytes.
pub const MAX_FACT_BYTES: usize = 1_024;

/// What a fact is about.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct FactKey {
    /// Part that the fact belongs to, such as `drain` or `quarantine`.
    pub topic: String,
    /// What it is about, such as the address of a server.
    pub subject: String,
}

/// One fact.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fact {
    /// What the fact is about.
    pub key: FactKey,
    /// What is said, in the words of the topic.
    pub value: String,
    /// Rises with each change of the same fact.
    pub stamp: u64,
    /// Time for which it still holds.
    pub time_left: Duration,
}

#[derive(Debug)]
struct Held {
    value: String,
    stamp: u64,
    until: Instant,
    hash: u64,
}

/// The facts that a host holds.
#[derive(Debug, Default)]
pub struct Facts {
    held: HashMap<FactKey, Held>,
    /// Hashes of all facts, combined so that a change costs one operation.
    hash_sum: u64,
}

impl Facts {
    /// Takes a fact; returns whether it is news.
    ///
    /// Of two facts with the same key the higher stamp wins, and of two with
    /// the same stamp the greater value, so that all hosts end with the same.
    pub fn merge(&mut self, fact: Fact, now: Instant) -> bool {
        let size = fact.key.topic.len() + fact.key.subject.len() + fact.value.len();
        if fact.time_left.is_zero() || size > MAX_FACT_BYTES {
            return false;
        }
        let is_news = self
            .held
            .get(&fact.key)
            .is_none_or(|held| (fact.stamp, &fact.value) > (held.stamp, &held.value));
        if is_news {
            self.insert(fact, now);
            self.shrink();
        }
        is_news
    }

    /// Returns a fact that still holds.
    pub fn get(&self, key: &FactKey, now: Instant) -> Option<Fact> {
        let held = self.held.get(key).filter(|held| held.until > now)?;
        Some(Fact {
            key: key.clone(),
            value: held.value.clone(),
            stamp: held.stamp,
            time_left: held.until - now,
        })
    }

    /// Returns the keys of all facts.
    pub fn keys(&self) -> impl Iterator<Item = &FactKey> {
        self.held.keys()
    }

    /// Forgets the facts that no longer hold.
    pub fn evict(&mut self, now: Instant) {
        let hash_sum = &mut self.hash_sum;
        self.held.retain(|_, held| {
            let is_kept = held.until > now;
            if !is_kept {
                *hash_sum ^= held.hash;
            }
            is_kept
        });
    }

    /// Returns a fingerprint of all facts, the same on hosts that hold the same.
    pub fn fingerprint(&self) -> u32 {
        (self.hash_sum ^ (self.hash_sum >> 32)) as u32
    }

    fn insert(&mut self, fact: Fact, now: Instant) {
        let text = format!("{}\0{}\0{}", fact.key.topic, fact.key.subject, fact.stamp);
        let held = Held {
            value: fact.value,
            stamp: fact.stamp,
            until: now + fact.time_left.min(MAX_FACT_AGE),
            hash: xxh3_64(text.as_bytes()),
        };
        self.hash_sum ^= held.hash;
        if let Some(former) = self.held.insert(fact.key, held) {
            self.hash_sum ^= former.hash;
        }
    }

    fn shrink(&mut self) {
        if self.held.len() <= MAX_FACTS {
            return;
        }
        let first = self.held.iter().min_by_key(|(_, held)| held.until);
        if let Some(key) = first.map(|(key, _)| key.clone()) {
            if let Some(former) = self.held.remove(&key) {
                self.hash_sum ^= former.hash;
            }
        }
    }
}
