//! Reports on which hosts an accepted change is in force.
//!
//! The store accepts a change; each host puts it in force on its own. The
//! exchange between peers reports the revisions of the other hosts one or two
//! rounds late. Hosts that lag according to the exchange are therefore queried
//! directly, concurrently and with a timeout, but at most
//! [`MAX_QUERIED_HOSTS`] of them: if more hosts lag, the change is still
//! spreading, and the responses of a few would not change the result.

use {
    crate::{
        admin::extract::{Path, Query, RecordPath},
        entry::Problem,
        peer,
        shared::Shared,
    },
    axum::{extract::State, Json},
    fleet::{Member, Progress},
    futures::future::join_all,
    kind::{Error, Kind, Result},
    record::{HeadEntry, HeadId, HostId, Revision},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
    store::load_head,
};

/// Maximum number of hosts that one request queries directly.
pub const MAX_QUERIED_HOSTS: usize = 16;

/// The head that a host has in force, or `None` if it did not answer.
struct HostHead {
    host: HostId,
    head: Option<HeadId>,
}

/// A host and the revision that it has in force.
pub(crate) struct NewerHost {
    /// Identifier or address of the host.
    pub(crate) host: String,
    /// Revision that the host has in force.
    pub(crate) revision: Revision,
}

/// Response that states on how many hosts a revision is in force.
#[derive(Serialize)]
pub(crate) struct InForceResponse {
    accepted: AcceptedRevision,
    /// Host that answers. The counts are of the hosts that it knows; one that has just
    /// started may not know the others yet.
    host: HostId,
    in_force_on: usize,
    hosts: usize,
    lagging: Vec<LaggingHost>,
}

#[derive(Serialize)]
struct AcceptedRevision {
    revision: Revision,
    /// Whether the revision was just read from the store. Otherwise it is that of
    /// this host or of the request.
    is_from_store: bool,
}

#[derive(Serialize)]
struct LaggingHost {
    host: HostId,
    /// Revision that the host has in force, if it was queried and answered.
    revision: Option<Revision>,
    /// Whether the host was queried directly. Otherwise the exchange reports that
    /// it lags.
    is_asked: bool,
}

/// Reports on which hosts the newest change of a record is in force.
pub(crate) async fn get(
    State(shared): State<Arc<Shared>>,
    Path(RecordPath { name, version }): Path<RecordPath>,
) -> Result<Json<InForceResponse>, Problem> {
    let is_wanted = |entry: &&HeadEntry| entry.id.name == name && entry.id.version == version;
    let current = shared.in_force();
    let (head, is_from_store) = match load_head(&shared.platform).await {
        Ok((head, _)) => (head, true),
        // While the store is down, the newest known change is the one in force
        // on this host.
        Err(error) if error.kind() == Kind::StoreDown => (current.head().clone(), false),
        Err(error) => return Err(error.into()),
    };
    let revision = head
        .entries
        .iter()
        .filter(is_wanted)
        .map(|entry| entry.revision)
        .max()
        .ok_or_else(|| {
            let detail = format!("no record {name}/{version} is in force");
            Error::new(Kind::UnknownRecord, detail)
        })?;
    let acceptance = AcceptedRevision {
        revision,
        is_from_store,
    };
    Ok(Json(response(&shared, acceptance).await))
}

/// Query parameters: the revision to report on.
#[derive(Deserialize)]
pub(crate) struct RevisionQuery {
    revision: Revision,
}

/// Reports on which hosts a revision of the head is in force.
pub(crate) async fn get_revision(
    State(shared): State<Arc<Shared>>,
    Query(query): Query<RevisionQuery>,
) -> Json<InForceResponse> {
    let acceptance = AcceptedRevision {
        revision: query.revision,
        is_from_store: false,
    };
    Json(response(&shared, acceptance).await)
}

/// Returns the rollout progress of a revision according to the exchange, with the
/// current state of this host.
pub(crate) fn progress(shared: &Shared, revision: Revision) -> Progress {
    let mut progress = shared.members.progress(revision);
    if shared.in_force().revision() < revision {
        return progress;
    }
    let own_id = &shared.settings.member.id;
    let lagging_before = progress.lagging.len();
    progress.lagging.retain(|id| id != own_id);
    progress.in_force += lagging_before - progress.lagging.len();
    progress
}

async fn response(shared: &Arc<Shared>, accepted: AcceptedRevision) -> InForceResponse {
    let progress = progress(shared, accepted.revision);
    let members = shared.members.all();
    let lags = |member: &&Member| progress.lagging.contains(&member.id);
    let heads = query_heads(shared, members.iter().filter(lags)).await;
    let lagging: Vec<_> = progress
        .lagging
        .into_iter()
        .map(|host| {
            let queried = heads.iter().find(|queried| queried.host == host);
            let head = queried.and_then(|queried| queried.head.as_ref());
            LaggingHost {
                revision: head.map(|head| head.revision),
                is_asked: queried.is_some(),
                host,
            }
        })
        .filter(|host| {
            host.revision
                .is_none_or(|revision| revision < accepted.revision)
        })
        .collect();
    InForceResponse {
        accepted,
        host: shared.settings.member.id.clone(),
        in_force_on: progress.members - lagging.len(),
        hosts: progress.members,
        lagging,
    }
}

/// Returns the host with the highest revision in force, if that is higher than
/// `revision`. Of large fleets, only some hosts are queried directly.
pub(crate) async fn find_newer(shared: &Arc<Shared>, revision: Revision) -> Option<NewerHost> {
    // The exchange reports the highest revision one or two rounds late.
    let reported = *shared.members.newer_peer().borrow();
    let reported = reported.map(|newer| NewerHost {
        host: newer.addr.to_string(),
        revision: newer.revision,
    });
    let queried = query_heads(shared, shared.members.all().iter()).await;
    let queried = queried.into_iter().filter_map(|queried| {
        Some(NewerHost {
            host: queried.host,
            revision: queried.head?.revision,
        })
    });
    reported
        .into_iter()
        .chain(queried)
        .filter(|newer| newer.revision > revision)
        .max_by_key(|newer| newer.revision)
}

/// Returns the heads that hosts have in force, querying at most
/// [`MAX_QUERIED_HOSTS`] other hosts, concurrently.
async fn query_heads<'a>(
    shared: &Arc<Shared>,
    members: impl IntoIterator<Item = &'a Member>,
) -> Vec<HostHead> {
    let own_id = &shared.settings.member.id;
    let (own, others): (Vec<_>, Vec<_>) = members.into_iter().partition(|m| m.id == *own_id);
    let mut heads: Vec<_> = own
        .into_iter()
        .map(|member| HostHead {
            host: member.id.clone(),
            head: Some(shared.in_force().head().id()),
        })
        .collect();
    let queries = others
        .into_iter()
        .take(MAX_QUERIED_HOSTS)
        .map(|member| async {
            shared.metrics.on_event("in-force", "host-asked");
            // No host has a newer revision than this, so only the head is sent.
            let reply = peer::fetch_config(shared, member.peer_addr, Revision::MAX).await;
            HostHead {
                host: member.id.clone(),
                head: reply.ok().map(|reply| reply.head),
            }
        });
    heads.extend(join_all(queries).await);
    heads
}
