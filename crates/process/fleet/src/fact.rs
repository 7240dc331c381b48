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
}

/// The facts that a host holds.
#[derive(Debug, Default)]
pub struct Facts(HashMap<FactKey, Held>);

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
            .0
            .get(&fact.key)
            .is_none_or(|held| (fact.stamp, &fact.value) > (held.stamp, &held.value));
        if is_news {
            let held = Held {
                value: fact.value,
                stamp: fact.stamp,
                until: now + fact.time_left.min(MAX_FACT_AGE),
            };
            self.0.insert(fact.key, held);
            self.shrink();
        }
        is_news
    }

    /// Returns a fact that still holds.
    pub fn get(&self, key: &FactKey, now: Instant) -> Option<Fact> {
        let held = self.0.get(key).filter(|held| held.until > now)?;
        Some(Fact {
            key: key.clone(),
            value: held.value.clone(),
            stamp: held.stamp,
            time_left: held.until - now,
        })
    }

    /// Returns the keys of all facts.
    pub fn keys(&self) -> impl Iterator<Item = &FactKey> {
        self.0.keys()
    }

    /// Forgets the facts that no longer hold.
    pub fn evict(&mut self, now: Instant) {
        self.0.retain(|_, held| held.until > now);
    }

    /// Returns a fingerprint of all facts, the same on hosts that hold the same.
    pub fn fingerprint(&self) -> u32 {
        let sum = self.0.iter().fold(0, |sum, (key, held)| {
            let text = format!("{}\0{}\0{}", key.topic, key.subject, held.stamp);
            sum ^ xxh3_64(text.as_bytes())
        });
        (sum ^ (sum >> 32)) as u32
    }

    fn shrink(&mut self) {
        if self.0.len() <= MAX_FACTS {
            return;
        }
        let first = self.0.iter().min_by_key(|(_, held)| held.until);
        if let Some(key) = first.map(|(key, _)| key.clone()) {
            self.0.remove(&key);
        }
    }
}
