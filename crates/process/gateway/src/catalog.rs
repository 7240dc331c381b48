//! What this host knows of the store, as it stands there, for its peers.

use {
    crate::peer::{NewsReply, WireItem},
    bytes::Bytes,
    rand::Rng,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    store::KeyEvent,
};

/// Removed keys that are remembered; who asks for older ones gets all keys.
const MAX_REMOVED: usize = 4_096;

#[derive(Debug)]
struct Known {
    number: u64,
    bytes: Bytes,
}

/// Keys and values with the order in which they became known.
#[derive(Debug)]
pub(crate) struct Catalog {
    epoch: u64,
    last: u64,
    known: HashMap<String, Known>,
    removed: HashMap<String, u64>,
    /// Numbers up to this one may have been removed without a trace.
    forgotten: u64,
    /// When all of it was as the store had it.
    read_at: Option<Instant>,
}

impl Default for Catalog {
    fn default() -> Self {
        Self {
            // Never 0, which stands for nobody.
            epoch: rand::rng().random_range(1..=u64::MAX),
            last: 0,
            known: HashMap::new(),
            removed: HashMap::new(),
            forgotten: 0,
            read_at: None,
        }
    }
}

impl Catalog {
    /// Takes a change; one without news only replaces the bytes.
    pub(crate) fn take(&mut self, event: &KeyEvent, is_news: bool) {
        match event {
            KeyEvent::Written(item) => {
                let is_known = self.known.contains_key(&item.key);
                let number = self.next_if(is_news || !is_known);
                let bytes = item.bytes.clone();
                self.removed.remove(&item.key);
                let known = self.known.entry(item.key.clone());
                let known = known.or_insert_with(|| Known {
                    number,
                    bytes: Bytes::new(),
                });
                known.bytes = bytes;
                if is_news {
                    known.number = number;
                }
            }
            KeyEvent::Removed(key) => {
                if self.known.remove(key).is_some() {
                    let number = self.next_if(true);
                    self.removed.insert(key.clone(), number);
                    self.forget_removed();
                }
            }
        }
    }

    fn next_if(&mut self, is_news: bool) -> u64 {
        self.last += u64::from(is_news);
        self.last
    }

    fn forget_removed(&mut self) {
        if self.removed.len() > MAX_REMOVED {
            self.removed.clear();
            self.forgotten = self.last;
        }
    }

    /// Returns the keys known that begin with `prefix`.
    pub(crate) fn keys(&self, prefix: &str) -> Vec<String> {
        let keys = self.known.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    /// Notes that all of it was as the store had it at `at`.
    pub(crate) fn on_read(&mut self, at: Instant) {
        self.read_at = self.read_at.max(Some(at));
    }

    /// Returns the time since all of it was as the store had it.
    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        self.read_at.map(|at| now.saturating_duration_since(at))
    }

    /// Returns whether there is something after `after` of `epoch` to tell.
    pub(crate) fn has_news(&self, epoch: u64, after: u64) -> bool {
        epoch != self.epoch || after < self.last
    }

    /// Tells what came after `after` of `epoch`, or everything.
    pub(crate) fn tell(&self, epoch: u64, after: u64, now: Instant) -> NewsReply {
        let is_full = epoch != self.epoch || after < self.forgotten || after > self.last;
        let after = if is_full { 0 } else { after };
        let written = self
            .known
            .iter()
            .filter(|(_, known)| is_full || known.number > after);
        let written = written.map(|(key, known)| WireItem {
            key: key.clone(),
            value: Some(known.bytes.to_vec()),
        });
        let removed = self
            .removed
            .iter()
            .filter(|(_, number)| !is_full && **number > after);
        let removed = removed.map(|(key, _)| WireItem {
            key: key.clone(),
            value: None,
        });
        let age = self.age(now).unwrap_or(Duration::MAX);
        NewsReply {
            epoch: self.epoch,
            last: self.last,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            is_full,
            items: written.chain(removed).collect(),
        }
    }
}
