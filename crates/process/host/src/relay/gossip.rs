//! Gossip between relays about draining upstreams and poison requests.
//!
//! Both are spread as facts of the peer exchange. A fact about a fingerprint
//! holds everything that its sender knows about the fingerprint; a receiver
//! that knows more publishes a fact of its own.

use {
    crate::{relay::upstreams::on_drain, shared::Shared},
    fleet::{Fact, FactKey},
    link::{DrainSign, Fingerprint, QuarantineDelta, WireQuarantineDelta},
    record::ServerAddr,
    std::{
        sync::Arc,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::sync::broadcast::error::RecvError,
};

const DRAIN_TOPIC: &str = "drain";
const QUARANTINE_TOPIC: &str = "quarantine";
/// Number of distinct stamps per millisecond.
const STAMPS_PER_MS: usize = 16;
/// Time for which a fact about a drain is spread.
const DRAIN_FACT_TTL: Duration = Duration::from_secs(60);
/// Time for which a fact about a fingerprint is spread.
const QUARANTINE_FACT_TTL: Duration = Duration::from_secs(3_600);

/// Tells peers that a server is draining.
pub(crate) fn publish_drain(shared: &Shared, server: ServerAddr) {
    shared.members.publish_fact(Fact {
        key: key(DRAIN_TOPIC, server.to_string()),
        value: String::new(),
        stamp: stamp(),
        time_left: DRAIN_FACT_TTL,
    });
}

/// Tells peers about the crashes and quarantine of a fingerprint, if there are any.
pub(crate) fn publish_quarantine(shared: &Shared, fingerprint: Fingerprint) {
    let quarantine = &shared.canaries.quarantine;
    let delta = quarantine.delta_of(fingerprint, Instant::now());
    if delta.is_empty() {
        return;
    }
    let entries = delta.crashes.len() + delta.quarantined.len();
    let Ok(value) = serde_json::to_string(&WireQuarantineDelta::from(delta)) else {
        return;
    };
    shared.members.publish_fact(Fact {
        key: key(QUARANTINE_TOPIC, format!("{fingerprint:016x}")),
        value,
        // Of two facts from the same millisecond, the one with more entries wins.
        stamp: stamp() + entries.min(STAMPS_PER_MS - 1) as u64,
        time_left: QUARANTINE_FACT_TTL,
    });
}

/// Applies the facts of peers until the process ends.
pub(crate) async fn follow_gossip(shared: Arc<Shared>) {
    let mut facts = shared.members.subscribe_to_facts();
    loop {
        match facts.recv().await {
            Ok(fact) => on_fact(&shared, &fact),
            Err(RecvError::Lagged(count)) => {
                log::warn!(target: "link", "Missed {count} facts of peers, the queue was full.");
            }
            Err(RecvError::Closed) => return,
        }
    }
}

fn on_fact(shared: &Shared, fact: &Fact) {
    match fact.key.topic.as_str() {
        DRAIN_TOPIC => {
            if let Ok(server) = fact.key.subject.parse() {
                on_drain(shared, server, DrainSign::Peer);
            }
        }
        QUARANTINE_TOPIC => on_quarantine(shared, fact),
        _ => {}
    }
}

fn on_quarantine(shared: &Shared, fact: &Fact) {
    let wire = serde_json::from_str::<WireQuarantineDelta>(&fact.value);
    let Some(received) = wire
        .ok()
        .and_then(|wire| QuarantineDelta::try_from(wire).ok())
    else {
        log::warn!(target: "link", "Ignored a malformed quarantine fact of a peer.");
        return;
    };
    let Ok(fingerprint) = Fingerprint::from_str_radix(&fact.key.subject, 16) else {
        return;
    };
    let now = Instant::now();
    let marks = received.crashes.len();
    let age = QUARANTINE_FACT_TTL.saturating_sub(fact.time_left);
    let quarantine = &shared.canaries.quarantine;
    quarantine.merge(&received.aged(age), now);
    if quarantine.delta_of(fingerprint, now).crashes.len() > marks {
        publish_quarantine(shared, fingerprint);
    }
}

fn key(topic: &str, subject: String) -> FactKey {
    FactKey {
        topic: topic.to_owned(),
        subject,
    }
}

/// Returns a stamp that increases with the system time.
///
/// Stamps of successive milliseconds are [`STAMPS_PER_MS`] apart, which leaves
/// room to order facts by the number of their entries.
fn stamp() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let time_ms = since_epoch.map_or(0, |time| time.as_millis());
    u64::try_from(time_ms * STAMPS_PER_MS as u128).unwrap_or(0)
}
