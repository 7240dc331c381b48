//! Records over the administration API.

use {
    crate::{entry::Problem, shared::Shared},
    axum::{
        extract::{Path, State},
        Json,
    },
    kind::{Error, Kind},
    record::{Head, RawRecord, RecordVersion, Revision},
    serde::Serialize,
    std::sync::Arc,
    store::{commit_record, load_head},
};

#[derive(Serialize)]
pub(crate) struct Accepted {
    accepted: bool,
    revision: Revision,
}

/// Lists the records of the newest head.
pub(crate) async fn list(State(shared): State<Arc<Shared>>) -> Result<Json<Head>, Problem> {
    let (head, _) = load_head(&shared.platform).await?;
    Ok(Json(head))
}

/// Commits a record.
pub(crate) async fn put(
    State(shared): State<Arc<Shared>>,
    Path((name, version)): Path<(String, RecordVersion)>,
    body: String,
) -> Result<Json<Accepted>, Problem> {
    let raw = RawRecord::from_json(&body)?;
    if raw.name != name || raw.version != version {
        return Err(Problem(Error::new(
            Kind::BadRecord,
            format!("name: the path names {name}/{version}"),
        )));
    }
    let operation_id = format!("{:032x}", rand::random::<u128>());
    let revision = commit_record(&shared.platform, &raw, &operation_id).await?;
    log::info!(target: "audit", "Record {name}/{version} committed as revision {revision}.");
    Ok(Json(Accepted {
        accepted: true,
        revision,
    }))
}
