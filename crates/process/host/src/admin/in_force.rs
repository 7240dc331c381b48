//! Where an accepted change is in force.
//!
//! `accepted` is a fact of the store, `in force` one of each host. Every host
//! of the membership is asked for what it holds, at once and with a bounded
//! wait; a host that does not answer counts as lagging.

use {
    crate::{entry::Problem, peer, shared::Shared},
    axum::{
        extract::{Path, Query, State},
        Json,
    },
    futures::future::join_all,
    kind::{Error, Kind, Result},
    record::{HeadEntry, HeadId, HostId, RecordVersion, Revision},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
    store::load_head,
};

/// What one host holds in force, if it answered.
pub(crate) struct View {
    pub(crate) host: HostId,
    pub(crate) head: Option<HeadId>,
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
}

/// States where the newest change of a record is in force.
pub(crate) async fn get(
    State(shared): State<Arc<Shared>>,
    Path((name, version)): Path<(String, RecordVersion)>,
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
    Ok(Json(state(acceptance, ask_all(&shared).await)))
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
    Json(state(acceptance, ask_all(&shared).await))
}

fn state(accepted: Acceptance, views: Vec<View>) -> InForceStated {
    let hosts = views.len();
    let lagging: Vec<_> = views
        .into_iter()
        .map(|view| Lagging {
            host: view.host,
            revision: view.head.map(|head| head.revision),
        })
        .filter(|view| view.revision.is_none_or(|held| held < accepted.revision))
        .collect();
    InForceStated {
        accepted,
        in_force_on: hosts - lagging.len(),
        hosts,
        lagging,
    }
}

/// Asks every host of the membership what it holds.
pub(crate) async fn ask_all(shared: &Arc<Shared>) -> Vec<View> {
    let members = shared.members.all();
    let asked = members.iter().map(|member| async {
        if member.id == shared.settings.member.id {
            return View {
                host: member.id.clone(),
                head: Some(shared.in_force().head().id()),
            };
        }
        // The highest revision asks for the head alone, without its records.
        let held = peer::held(shared, member.peer_addr, Revision::MAX).await;
        View {
            host: member.id.clone(),
            head: held.ok().map(|held| held.head),
        }
    });
    join_all(asked).await
}
