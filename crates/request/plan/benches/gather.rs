//! CPU time of the decisions for one query.

use {
    criterion::{criterion_group, criterion_main, BatchSize, Criterion},
    plan::{
        Action, Event, Gather, LeafCall, LeafReply, Limits, Pin, RequestId, ServiceState, Upstreams,
    },
    record::{Hedge, Index, Server, ServerAddr, Service, Shard},
    std::{
        hint::black_box,
        net::Ipv4Addr,
        sync::Arc,
        time::{Duration, Instant},
    },
};

const REQUEST_ID: RequestId = 1;
/// Number of shards of the larger current service, and the planned number.
const SHARD_COUNTS: [u16; 2] = [50, 210];

struct FirstUntried;

impl Upstreams for FirstUntried {
    fn pick(&mut self, shard: &Shard, tried: &[ServerAddr], _: Instant) -> Option<ServerAddr> {
        let mut servers = shard.servers.iter().map(|server| server.addr);
        servers.find(|addr| !tried.contains(addr))
    }
}

fn service(shards: u16) -> Arc<Service> {
    let server = |port| Server {
        addr: ServerAddr::from((Ipv4Addr::LOCALHOST, port)),
        zone: "zone-0".to_owned(),
    };
    let shards = (0..shards)
        .map(|id| Shard {
            id: id.into(),
            servers: vec![server(1_000 + 2 * id), server(1_001 + 2 * id)],
        })
        .collect();
    Arc::new(Service {
        name: "restock-desk".to_owned(),
        version: 1,
        connection_limit: 25,
        slots: 2,
        relays: Some(1),
        indexes: vec![Index { version: 1, shards }],
    })
}

fn gather(service: &Arc<Service>, group: &Arc<ServiceState>, now: Instant) -> Gather<()> {
    let pin = Pin::newest(service).expect("a service with an index");
    let limits = Limits {
        deadline: now + Duration::from_secs(1),
        is_repeatable: true,
    };
    Gather::new(REQUEST_ID, pin, limits)
        .with_service_state(Arc::clone(group))
        .with_hedge(Hedge {
            quantile: 0.95,
            budget_share: 0.05,
        })
}

fn reply(call: &LeafCall) -> Event<()> {
    let reply = LeafReply {
        request_id: REQUEST_ID,
        attempt_id: call.attempt_id,
        shard: call.shard,
        index_version: call.index_version,
        rows: (),
    };
    Event::Replied(call.attempt_id, reply)
}

/// Runs a query whose shards all reply immediately.
fn run(mut gather: Gather<()>, now: Instant) {
    for action in gather.start(&mut FirstUntried, now) {
        if let Action::Call(call) = action {
            black_box(gather.on_event(reply(&call), &mut FirstUntried, now));
            black_box(gather.next_wake());
        }
    }
}

fn whole_query(criterion: &mut Criterion) {
    let now = Instant::now();
    for shards in SHARD_COUNTS {
        let service = service(shards);
        let group = Arc::default();
        criterion.bench_function(&format!("query over {shards} shards"), |bencher| {
            bencher.iter_batched(
                || gather(&service, &group, now),
                |gather| run(gather, now),
                BatchSize::SmallInput,
            );
        });
    }
}

criterion_group!(benches, whole_query);
criterion_main!(benches);
