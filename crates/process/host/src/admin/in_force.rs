//! Where an accepted change is in force.
//!
//! `accepted` is a fact of the store, `in force` one of each host. The exchange
//! between peers tells what the others hold, a round or two late. Members that
//! lag by its word are therefore asked directly, at once and with a bounded
//! wait, but no more than [`MAX_QUESTIONS`]: where more lag, the change is
//! still on its way, and no answer of a few would settle that.

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

/// Most hosts that one request asks directly.
pub const MAX_QUESTIONS: usize = 16;

/// What one host holds in force, if it answered.
struct View {
    host: HostId,
    head: Option<HeadId>,
}

/// A host that holds a higher revision than this one.
pub(crate) struct NewerHost {
    /// Name or address of the host.
    pub(crate) host: String,
    /// Revision that it holds.
    pub(crate) revision: Revision,
}

/// Where a record is in force.
#[derive(Serialize)]
pub(crate) struct InForceStated {
    accepted: Acceptance,
    in_force_on: usize,
    hosts: usize,
    lagging: Vec<Lagging>,
}

#[derive(Serialize)]
struct Acceptance {
    revision: Revision,
    /// Whether the store said so now; else it is what this host holds.
    is_from_store: bool,
}

#[derive(Serialize)]
struct Lagging {
    host: HostId,
    /// Revision that the host holds; absent if it did not answer.
    revision: Option<Revision>,
    /// Whether the host was asked directly; else it lags by the word of its peers.
    is_asked: bool,
}

/// States where the newest change of a record is in force.
pub(crate) async fn get(
    State(shared): State<Arc<Shared>>,
    Path(RecordPath { name, version }): Path<RecordPath>,
) -> Result<Json<InForceStated>, Problem> {
    let is_wanted = |entry: &&HeadEntry| entry.id.name == name && entry.id.version == version;
    let held = shared.in_force();
    let (head, is_from_store) = match load_head(&shared.platform).await {
        Ok((head, _)) => (head, true),
        // In an outage the newest known change is the one that this host holds.
        Err(error) if error.kind() == Kind::StoreDown => (held.head().clone(), false),
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
    let acceptance = Acceptance {
        revision,
        is_from_store,
    };
    Ok(Json(state(&shared, acceptance).await))
}

/// Revision to look for.
#[derive(Deserialize)]
pub(crate) struct RevisionQuery {
    revision: Revision,
}

/// States where a revision of the head is in force.
pub(crate) async fn get_revision(
    State(shared): State<Arc<Shared>>,
    Query(query): Query<RevisionQuery>,
) -> Json<InForceStated> {
    let acceptance = Acceptance {
        revision: query.revision,
        is_from_store: false,
    };
    Json(state(&shared, acceptance).await)
}

/// Returns how far a revision has come, as the exchange tells and as this host knows of itself.
pub(crate) fn progress(shared: &Shared, revision: Revision) -> Progress {
    let mut progress = shared.members.progress(revision);
    if shared.in_force().revision() < revision {
        return progress;
    }
    let own_id = &shared.settings.member.id;
    let known = progress.lagging.len();
    progress.lagging.retain(|id| id != own_id);
    progress.in_force += known - progress.lagging.len();
    progress
}

async fn state(shared: &Arc<Shared>, accepted: Acceptance) -> InForceStated {
    let progress = progress(shared, accepted.revision);
    let members = shared.members.all();
    let lags = |member: &&Member| progress.lagging.contains(&member.id);
    let views = ask(shared, members.iter().filter(lags)).await;
    let lagging: Vec<_> = progress
        .lagging
        .into_iter()
        .map(|host| {
            let view = views.iter().find(|view| view.host == host);
            let head = view.and_then(|view| view.head.as_ref());
            Lagging {
                revision: head.map(|head| head.revision),
                is_asked: view.is_some(),
                host,
            }
        })
        .filter(|view| view.revision.is_none_or(|held| held < accepted.revision))
        .collect();
    InForceStated {
        accepted,
        in_force_on: progress.members - lagging.len(),
        hosts: progress.members,
        lagging,
    }
}

/// Finds a host that holds a higher revision than `revision`.
pub(crate) async fn find_newer(shared: &Arc<Shared>, revision: Revision) -> Option<NewerHost> {
    // The exchange tells of the highest revision, if a round or two late.
    let told = *shared.members.newer().borrow();
    let told = told.map(|newer| NewerHost {
        host: newer.addr.to_string(),
        revision: newer.revision,
    });
    let asked = ask(shared, shared.members.all().iter()).await;
    let asked = asked.into_iter().filter_map(|view| {
        Some(NewerHost {
            host: view.host,
            revision: view.head?.revision,
        })
    });
    told.into_iter()
        .chain(asked)
        .filter(|newer| newer.revision > revision)
        .max_by_key(|newer| newer.revision)
}

/// Asks some hosts what they hold, at once; no more than [`MAX_QUESTIONS`].
async fn ask<'a>(shared: &Arc<Shared>, members: impl IntoIterator<Item = &'a Member>) -> Vec<View> {
    let own_id = &shared.settings.member.id;
    let (own, others): (Vec<_>, Vec<_>) = members.into_iter().partition(|m| m.id == *own_id);
    let mut views: Vec<_> = own
        .into_iter()
        .map(|member| View {
            host: member.id.clone(),
            head: Some(shared.in_force().head().id()),
        })
        .collect();
    let asked = others.into_iter().take(MAX_QUESTIONS).map(|member| async {
        shared.metrics.on_event("in-force", "host-asked");
        // The highest revision asks for the head alone, without its records.
        let held = peer::held(shared, member.peer_addr, Revision::MAX).await;
        View {
            host: member.id.clone(),
            head: held.ok().map(|held| held.head),
        }
    });
    views.extend(join_all(asked).await);
    views
}
