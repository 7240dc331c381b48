//! What relays tell each other about upstreams: drains and poison requests.
//!
//! Both travel as facts of the peer exchange. A fact about a fingerprint holds
//! everything that its sender knows about it; who knows more tells it again.

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
/// Stamps within one millisecond.
const STAMPS_PER_MS: usize = 16;
/// Time for which a fact about a drain is told.
const DRAIN_LIFE: Duration = Duration::from_secs(60);
/// Time for which a fact about a fingerprint is told.
const QUARANTINE_LIFE: Duration = Duration::from_secs(3_600);

/// Tells peers that a server drains.
pub(crate) fn tell_drain(shared: &Shared, server: ServerAddr) {
    shared.members.tell(Fact {
        key: key(DRAIN_TOPIC, server.to_string()),
        value: String::new(),
        stamp: stamp(),
        time_left: DRAIN_LIFE,
    });
}

/// Tells peers what is known against a fingerprint, if anything is.
pub(crate) fn tell_quarantine(shared: &Shared, fingerprint: Fingerprint) {
    let quarantine = &shared.canaries.quarantine;
    let delta = quarantine.delta_of(fingerprint, Instant::now());
    if delta.is_empty() {
        return;
    }
    let known = delta.crashes.len() + delta.quarantined.len();
    let Ok(value) = serde_json::to_string(&WireQuarantineDelta::from(delta)) else {
        return;
    };
    shared.members.tell(Fact {
        key: key(QUARANTINE_TOPIC, format!("{fingerprint:016x}")),
        value,
        // Of two facts told within one millisecond the one that knows more wins.
        stamp: stamp() + known.min(STAMPS_PER_MS - 1) as u64,
        time_left: QUARANTINE_LIFE,
    });
}

/// Takes what peers tell for as long as the process lives.
pub(crate) async fn follow_news(shared: Arc<Shared>) {
    let mut facts = shared.members.told_facts();
    loop {
        match facts.recv().await {
            Ok(fact) => on_fact(&shared, &fact),
            Err(RecvError::Lagged(count)) => {
                log::warn!(target: "link", "Missed {count} facts of peers.");
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
    let Some(told) = wire.ok().and_then(|w| QuarantineDelta::try_from(w).ok()) else {
        log::warn!(target: "link", "A peer tells something malformed about a request.");
        return;
    };
    let Ok(fingerprint) = Fingerprint::from_str_radix(&fact.key.subject, 16) else {
        return;
    };
    let now = Instant::now();
    let marks = told.crashes.len();
    let on_its_way = QUARANTINE_LIFE.saturating_sub(fact.time_left);
    let quarantine = &shared.canaries.quarantine;
    quarantine.merge(&told.aged(on_its_way), now);
    if quarantine.delta_of(fingerprint, now).crashes.len() > marks {
        tell_quarantine(shared, fingerprint);
    }
}

fn key(topic: &str, subject: String) -> FactKey {
    FactKey {
        topic: topic.to_owned(),
        subject,
    }
}

/// Returns a stamp that rises with the time, with room for what is known.
fn stamp() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let time_ms = since_epoch.map_or(0, |time| time.as_millis());
    u64::try_from(time_ms * STAMPS_PER_MS as u128).unwrap_or(0)
}
