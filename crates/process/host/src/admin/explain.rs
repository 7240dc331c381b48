//! The plan of a query, as this host would make it now.

use {
    crate::{
        admin::extract::{Path, Query},
        entry::Problem,
        shared::Shared,
    },
    axum::{extract::State, Json},
    kind::{Error, Kind, Result},
    plan::Pin,
    record::{
        HostId, IndexVersion, RecordVersion, Revision, Route, ServerAddr, Service, ShardId, ZoneId,
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Version of the route to explain.
#[derive(Deserialize)]
pub(crate) struct VersionQuery {
    version: Option<RecordVersion>,
}

/// The plan of a query.
#[derive(Serialize)]
pub(crate) struct Explained {
    revision: Revision,
    route: RouteExplained,
    service: ServiceExplained,
    relays: Vec<HostId>,
    shards: Vec<ShardExplained>,
}

#[derive(Serialize)]
struct RouteExplained {
    name: String,
    version: RecordVersion,
    is_repeatable: bool,
    default_deadline_ms: u128,
    max_deadline_ms: u128,
    min_coverage_share: f64,
}

#[derive(Serialize)]
struct ServiceExplained {
    name: String,
    version: RecordVersion,
    index_version: IndexVersion,
    other_index_versions: Vec<IndexVersion>,
}

#[derive(Serialize)]
struct ShardExplained {
    shard: ShardId,
    servers: Vec<ServerExplained>,
}

#[derive(Serialize)]
struct ServerExplained {
    addr: ServerAddr,
    zone: ZoneId,
}

/// Explains the plan of a query for a route.
pub(crate) async fn get(
    State(shared): State<Arc<Shared>>,
    Path(name): Path<String>,
    Query(query): Query<VersionQuery>,
) -> Result<Json<Explained>, Problem> {
    let in_force = shared.in_force();
    let route = in_force.route(&name, query.version)?;
    let service = in_force.service(&route.service)?;
    let pin = Pin::newest(&service)
        .ok_or_else(|| Error::new(Kind::Internal, "the service has no index"))?;
    Ok(Json(Explained {
        revision: in_force.revision(),
        route: explain_route(&route),
        relays: relays(&shared, &service),
        shards: pin.index().shards.iter().map(explain_shard).collect(),
        service: explain_service(&service, pin.version()),
    }))
}

fn relays(shared: &Shared, service: &Service) -> Vec<HostId> {
    let set = shared.relay_sets.of(shared, service);
    set.relays.iter().map(|relay| relay.id.clone()).collect()
}

fn explain_route(route: &Route) -> RouteExplained {
    RouteExplained {
        name: route.name.clone(),
        version: route.version,
        is_repeatable: route.repeatable,
        default_deadline_ms: route.default_deadline.as_millis(),
        max_deadline_ms: route.max_deadline.as_millis(),
        min_coverage_share: route.coverage.min_share,
    }
}

fn explain_service(service: &Service, pinned: IndexVersion) -> ServiceExplained {
    let versions = service.indexes.iter().map(|index| index.version);
    ServiceExplained {
        name: service.name.clone(),
        version: service.version,
        index_version: pinned,
        other_index_versions: versions.filter(|version| *version != pinned).collect(),
    }
}

fn explain_shard(shard: &record::Shard) -> ShardExplained {
    let servers = shard.servers.iter().map(|server| ServerExplained {
        addr: server.addr,
        zone: server.zone.clone(),
    });
    ShardExplained {
        shard: shard.id,
        servers: servers.collect(),
    }
}
