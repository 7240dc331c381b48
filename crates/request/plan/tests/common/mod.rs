//! Records, servers and replies shared by the tests of this crate.

// Each test file uses only part of this module.
#![allow(dead_code)]

use {
    kind::Ran,
    plan::{
        Action, Answer, AttemptId, Event, Gather, LeafCall, LeafFailure, LeafReply, Limits, Pin,
        Reason, RequestId, ServiceState, Upstreams,
    },
    record::{Hedge, Index, IndexVersion, Server, ServerAddr, Service, Shard, ShardId},
    std::{
        net::Ipv4Addr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

pub(crate) const REQUEST_ID: RequestId = 7;
pub(crate) const SERVERS_PER_SHARD: u32 = 2;

pub(crate) const HEDGE: Hedge = Hedge {
    quantile: 0.95,
    budget_share: 0.5,
};

/// The rows of a reply: the identifier of the call that returned them.
pub(crate) type Rows = AttemptId;
/// Version and number of shards of an index.
pub(crate) type IndexShape = (IndexVersion, u32);

pub(crate) fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub(crate) fn addr(shard: ShardId, replica: u32) -> ServerAddr {
    let port = 1_000 + shard * SERVERS_PER_SHARD + replica;
    ServerAddr::from((
        Ipv4Addr::LOCALHOST,
        u16::try_from(port).expect("a small number"),
    ))
}

pub(crate) fn service(version: u32, indexes: &[IndexShape]) -> Arc<Service> {
    let mut indexes: Vec<_> = indexes.iter().map(|shape| index(*shape)).collect();
    indexes.sort_by_key(|index| std::cmp::Reverse(index.version));
    Arc::new(Service {
        name: "restock-desk".to_owned(),
        version,
        connection_limit: 25,
        slots: 2,
        relays: Some(1),
        indexes,
    })
}

fn index((version, shards): IndexShape) -> Index {
    let shards = (0..shards)
        .map(|id| Shard {
            id,
            servers: (0..SERVERS_PER_SHARD)
                .map(|replica| Server {
                    addr: addr(id, replica),
                    zone: format!("zone-{replica}"),
                })
                .collect(),
        })
        .collect();
    Index { version, shards }
}

/// Picks the first untried server in the order of the record, or the first one if all are tried.
#[derive(Default)]
pub(crate) struct InOrder;

impl Upstreams for InOrder {
    fn pick(&mut self, shard: &Shard, tried: &[ServerAddr], _: Instant) -> Option<ServerAddr> {
        let mut servers = shard.servers.iter().map(|server| server.addr);
        servers
            .clone()
            .find(|s| !tried.contains(s))
            .or_else(|| servers.next())
    }
}

/// Picks servers in the order of the record; if `.0` is set, a call to the first one is a probe.
pub(crate) struct FirstServerOnProbe(pub(crate) bool);

impl Upstreams for FirstServerOnProbe {
    fn pick(&mut self, shard: &Shard, tried: &[ServerAddr], now: Instant) -> Option<ServerAddr> {
        InOrder.pick(shard, tried, now)
    }

    fn is_recovery_probe(&self, shard: &Shard, server: ServerAddr, _: Instant) -> bool {
        self.0 && shard.servers[0].addr == server
    }
}

pub(crate) fn limits(start: Instant, is_repeatable: bool) -> Limits {
    Limits {
        deadline: start + ms(1_000),
        is_repeatable,
    }
}

pub(crate) fn gather(service: &Arc<Service>, start: Instant, is_repeatable: bool) -> Gather<Rows> {
    let pin = Pin::newest(service).expect("a service with an index");
    Gather::new(REQUEST_ID, pin, limits(start, is_repeatable))
}

pub(crate) fn reply(call: &LeafCall) -> LeafReply<Rows> {
    LeafReply {
        request_id: REQUEST_ID,
        attempt_id: call.attempt_id,
        shard: call.shard,
        index_version: call.index_version,
        rows: call.attempt_id,
    }
}

pub(crate) fn replied(call: &LeafCall) -> Event<Rows> {
    Event::Replied(call.attempt_id, reply(call))
}

pub(crate) fn failed(call: &LeafCall, reason: Reason, ran: Ran) -> Event<Rows> {
    let failure = LeafFailure {
        reason,
        ran,
        newest_version: None,
    };
    Event::Failed(call.attempt_id, failure)
}

pub(crate) fn version_gone(call: &LeafCall, newest: IndexVersion) -> Event<Rows> {
    let failure = LeafFailure {
        reason: Reason::VersionGone,
        ran: Ran::No,
        newest_version: Some(newest),
    };
    Event::Failed(call.attempt_id, failure)
}

pub(crate) fn calls(actions: &[Action<Rows>]) -> Vec<LeafCall> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Call(call) => Some(call.clone()),
            _ => None,
        })
        .collect()
}

pub(crate) fn cancelled(actions: &[Action<Rows>]) -> Vec<u64> {
    actions
        .iter()
        .filter_map(|action| match action {
            Action::Cancel(attempt_id) => Some(*attempt_id),
            _ => None,
        })
        .collect()
}

pub(crate) fn finished(actions: Vec<Action<Rows>>) -> Option<Answer<Rows>> {
    actions.into_iter().find_map(|action| match action {
        Action::Finish(answer) => Some(answer),
        _ => None,
    })
}

/// Returns a group whose recorded latencies are all 10 ms.
pub(crate) fn trained_group(start: Instant) -> Arc<ServiceState> {
    let group = Arc::<ServiceState>::default();
    for _ in 0..8 {
        let mut gather = gather(&service(1, &[(1, 20)]), start, true)
            .with_service_state(Arc::clone(&group))
            .with_hedge(HEDGE);
        for call in calls(&gather.start(&mut InOrder, start)) {
            gather.on_event(replied(&call), &mut InOrder, start + ms(10));
        }
    }
    group
}
