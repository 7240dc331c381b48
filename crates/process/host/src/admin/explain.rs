//! The query plan that this host would currently make for a route.

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

/// Query parameters: the version of the route, or by default the newest.
#[derive(Deserialize)]
pub(crate) struct VersionQuery {
    version: Option<RecordVersion>,
}

/// The plan of a query for a route.
#[derive(Serialize)]
pub(crate) struct PlanResponse {
    revision: Revision,
    route: RoutePlan,
    service: ServicePlan,
    relays: Vec<HostId>,
    shards: Vec<ShardPlan>,
}

#[derive(Serialize)]
struct RoutePlan {
    name: String,
    version: RecordVersion,
    is_repeatable: bool,
    default_deadline_ms: u128,
    max_deadline_ms: u128,
    min_coverage_share: f64,
}

#[derive(Serialize)]
struct ServicePlan {
    name: String,
    version: RecordVersion,
    index_version: IndexVersion,
    other_index_versions: Vec<IndexVersion>,
}

#[derive(Serialize)]
struct ShardPlan {
    shard: ShardId,
    servers: Vec<ServerPlan>,
}

#[derive(Serialize)]
struct ServerPlan {
    addr: ServerAddr,
    zone: ZoneId,
}

/// Returns the plan of a query for a route.
pub(crate) async fn get(
    State(shared): State<Arc<Shared>>,
    Path(name): Path<String>,
    Query(query): Query<VersionQuery>,
) -> Result<Json<PlanResponse>, Problem> {
    let in_force = shared.in_force();
    let route = in_force.route(&name, query.version)?;
    let service = in_force.service(&route.service)?;
    let pin = Pin::newest(&service)
        .ok_or_else(|| Error::new(Kind::Internal, "the service has no index"))?;
    Ok(Json(PlanResponse {
        revision: in_force.revision(),
        route: route_plan(&route),
        relays: relay_ids(&shared, &service),
        shards: pin.index().shards.iter().map(shard_plan).collect(),
        service: service_plan(&service, pin.version()),
    }))
}

fn relay_ids(shared: &Shared, service: &Service) -> Vec<HostId> {
    let set = shared.relay_sets.get(shared, service);
    set.relays.iter().map(|relay| relay.id.clone()).collect()
}

fn route_plan(route: &Route) -> RoutePlan {
    RoutePlan {
        name: route.name.clone(),
        version: route.version,
        is_repeatable: route.repeatable,
        default_deadline_ms: route.default_deadline.as_millis(),
        max_deadline_ms: route.max_deadline.as_millis(),
        min_coverage_share: route.coverage.min_share,
    }
}

fn service_plan(service: &Service, pinned: IndexVersion) -> ServicePlan {
    let versions = service.indexes.iter().map(|index| index.version);
    ServicePlan {
        name: service.name.clone(),
        version: service.version,
        index_version: pinned,
        other_index_versions: versions.filter(|version| *version != pinned).collect(),
    }
}

fn shard_plan(shard: &record::Shard) -> ShardPlan {
    let servers = shard.servers.iter().map(|server| ServerPlan {
        addr: server.addr,
        zone: server.zone.clone(),
    });
    ShardPlan {
        shard: shard.id,
        servers: servers.collect(),
    }
}
