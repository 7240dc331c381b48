//! Records over the administration API.

use {
    crate::{
        admin::{
            extract::{Path, Query, RecordPath, Text},
            headers::{head_tag, is_repeat, precondition, record_tag, stamp},
            in_force::find_newer,
        },
        config,
        entry::Problem,
        shared::Shared,
    },
    axum::{
        extract::State,
        http::HeaderMap,
        response::{IntoResponse, Response},
        Json,
    },
    http::header,
    kind::{Error, Kind, Ran, Result},
    record::{
        Action, Change, Head, HeadEntry, HeadId, Operation, OperationId, RawRecord, RecordId,
        RecordKind, RecordVersion, Revision, Stamp,
    },
    serde::{Deserialize, Serialize},
    serde_json::value::RawValue,
    std::sync::Arc,
    store::{
        body_key_at, commit, find_operation, load_body, load_head, load_history, Commit, Committed,
        MAX_HISTORY,
    },
};

/// An accepted change. Whether it is in force everywhere is a fact of its own.
#[derive(Serialize)]
pub(crate) struct Accepted {
    accepted: bool,
    revision: Revision,
    operation_id: OperationId,
    is_repeat: bool,
}

/// Narrows a name and version down to one record.
#[derive(Deserialize)]
pub(crate) struct KindQuery {
    kind: Option<RecordKind>,
}

/// What to roll back to.
#[derive(Deserialize)]
pub(crate) struct RollBackQuery {
    kind: Option<RecordKind>,
    to_revision: Revision,
}

/// How far back a history goes.
#[derive(Deserialize)]
pub(crate) struct HistoryQuery {
    limit: Option<u64>,
}

#[derive(Serialize)]
pub(crate) struct RecordStated {
    #[serde(flatten)]
    id: RecordId,
    revision: Revision,
    record: Box<RawValue>,
}

/// Lists the records of the newest head.
pub(crate) async fn list(State(shared): State<Arc<Shared>>) -> Result<Response, Problem> {
    let (head, _) = load_head(&shared.platform).await?;
    let tag = head_tag(head.revision);
    Ok(([(header::ETAG, tag)], Json(head)).into_response())
}

/// Shows one record of the newest head.
pub(crate) async fn get(
    State(shared): State<Arc<Shared>>,
    Path(RecordPath { name, version }): Path<RecordPath>,
    Query(query): Query<KindQuery>,
) -> Result<Response, Problem> {
    let (head, _) = load_head(&shared.platform).await?;
    let entry = find(&head, &name, version, query.kind)?;
    let text = load_body(&shared.platform, &entry.body_key).await?;
    let record = RawValue::from_string(text.to_string())
        .map_err(|e| Error::new(Kind::BadRecord, e.to_string()))?;
    let tag = record_tag(entry.revision);
    let stated = RecordStated {
        id: entry.id.clone(),
        revision: entry.revision,
        record,
    };
    Ok(([(header::ETAG, tag)], Json(stated)).into_response())
}

/// Commits a record.
pub(crate) async fn put(
    State(shared): State<Arc<Shared>>,
    Path(RecordPath { name, version }): Path<RecordPath>,
    headers: HeaderMap,
    Text(body): Text,
) -> Result<Json<Accepted>, Problem> {
    let raw = RawRecord::from_json(&body)?;
    if raw.name != name || raw.version != version {
        return Err(Problem(Error::new(
            Kind::BadRecord,
            format!("name: the path names {name}/{version}"),
        )));
    }
    let change = Commit::put(&raw, stamp(&headers)?)?;
    run(&shared, &headers, change).await
}

/// Takes a record out of force.
pub(crate) async fn retire(
    State(shared): State<Arc<Shared>>,
    Path(RecordPath { name, version }): Path<RecordPath>,
    Query(query): Query<KindQuery>,
    headers: HeaderMap,
) -> Result<Json<Accepted>, Problem> {
    let stamp = stamp(&headers)?;
    let id = match known_id(&shared, &name, version, query.kind).await {
        Ok(id) => id,
        Err(error) => {
            let wanted = Wanted::new(Action::Retire, &name, version);
            return earlier(&shared, &headers, &stamp, &wanted, error).await;
        }
    };
    let change = Commit::new(Change::Retire { id }, stamp);
    run(&shared, &headers, change).await
}

/// Brings an earlier body of a record into force again, as a new revision.
pub(crate) async fn roll_back(
    State(shared): State<Arc<Shared>>,
    Path(RecordPath { name, version }): Path<RecordPath>,
    Query(query): Query<RollBackQuery>,
    headers: HeaderMap,
) -> Result<Json<Accepted>, Problem> {
    let stamp = stamp(&headers)?;
    let id = known_id(&shared, &name, version, query.kind).await;
    let text = match id {
        Ok(id) => text_at(&shared, &id, query.to_revision).await,
        Err(error) => Err(error),
    };
    let text = match text {
        Ok(text) => text,
        Err(error) => {
            let wanted = Wanted::new(Action::RollBack, &name, version);
            return earlier(&shared, &headers, &stamp, &wanted, error).await;
        }
    };
    let change = Commit::roll_back(text, stamp)?;
    run(&shared, &headers, change).await
}

async fn text_at(shared: &Shared, id: &RecordId, revision: Revision) -> Result<String> {
    let key = body_key_at(&shared.platform, id, revision).await?;
    Ok(load_body(&shared.platform, &key).await?.to_string())
}

/// A change of a record that is not found any more.
struct Wanted<'a> {
    action: Action,
    name: &'a str,
    version: RecordVersion,
}

impl<'a> Wanted<'a> {
    fn new(action: Action, name: &'a str, version: RecordVersion) -> Self {
        Self {
            action,
            name,
            version,
        }
    }

    fn is_done_by(&self, operation: &Operation) -> bool {
        let subject = operation.subject.as_ref();
        let is_subject = |id: &RecordId| id.name == self.name && id.version == self.version;
        operation.action == self.action && subject.is_some_and(is_subject)
    }
}

/// Answers a repeat whose record is not found any more by what the earlier call did.
async fn earlier(
    shared: &Shared,
    headers: &HeaderMap,
    stamp: &Stamp,
    wanted: &Wanted<'_>,
    error: Error,
) -> Result<Json<Accepted>, Problem> {
    if error.kind() != Kind::UnknownRecord || !is_repeat(headers) {
        return Err(error.into());
    }
    let found = find_operation(&shared.platform, &stamp.operation_id).await?;
    match found {
        Some(operation) if !wanted.is_done_by(&operation) => Err(Problem(Error::new(
            Kind::KeyReused,
            format!("operation {} made another change", stamp.operation_id),
        ))),
        Some(operation) => Ok(Json(Accepted {
            accepted: true,
            revision: operation.revision,
            operation_id: operation.operation_id,
            is_repeat: true,
        })),
        None => Err(error.with_ran(Ran::Unknown).into()),
    }
}

/// Gives the store back what this host holds in force.
pub(crate) async fn recover(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
) -> Result<Json<Accepted>, Problem> {
    let held = shared.in_force();
    let (head, _) = load_head(&shared.platform).await?;
    if head.id() == held.head().id() {
        return Err(Problem(Error::new(
            Kind::Conflict,
            "the store shows what this host holds, nothing is to be recovered",
        )));
    }
    if let Some(newer) = find_newer(&shared, held.revision()).await {
        let detail = format!(
            "host {} holds revision {}, recover there",
            newer.host, newer.revision
        );
        return Err(Problem(Error::new(Kind::Conflict, detail)));
    }
    let change = Commit::recover(held.bundle(), stamp(&headers)?);
    run(&shared, &headers, change).await
}

/// Lists the last operations, the newest first.
pub(crate) async fn history(
    State(shared): State<Arc<Shared>>,
    Query(query): Query<HistoryQuery>,
) -> Result<Json<Vec<Operation>>, Problem> {
    let limit = query.limit.unwrap_or(MAX_HISTORY);
    Ok(Json(load_history(&shared.platform, limit).await?))
}

/// Lists the last operations on one record, the newest first.
pub(crate) async fn record_history(
    State(shared): State<Arc<Shared>>,
    Path(RecordPath { name, version }): Path<RecordPath>,
    Query(query): Query<HistoryQuery>,
) -> Result<Json<Vec<Operation>>, Problem> {
    let limit = query.limit.unwrap_or(MAX_HISTORY);
    let mut found = load_history(&shared.platform, limit).await?;
    found.retain(|operation| {
        let subject = operation.subject.as_ref();
        subject.is_some_and(|id| id.name == name && id.version == version)
    });
    Ok(Json(found))
}

async fn run(
    shared: &Arc<Shared>,
    headers: &HeaderMap,
    change: Commit,
) -> Result<Json<Accepted>, Problem> {
    let held: HeadId = shared.in_force().head().id();
    let mut change = change
        .with_precondition(precondition(headers)?)
        .with_held(held);
    if is_repeat(headers) {
        change = change.as_repeat();
    }
    let stamp = change.stamp().clone();
    let what = change.change().to_string();
    let result = commit(&shared.platform, change).await;
    audit(shared, &stamp, &what, &result);
    if result
        .as_ref()
        .is_err_and(|e| e.kind() == Kind::StoreReverted)
    {
        config::check_store(shared).await;
    }
    let committed = result?;
    Ok(Json(Accepted {
        accepted: true,
        revision: committed.revision,
        operation_id: stamp.operation_id,
        is_repeat: committed.is_repeat,
    }))
}

fn audit(shared: &Shared, stamp: &Stamp, what: &str, result: &Result<Committed>) {
    let (event, ending) = match result {
        Ok(committed) => (
            "committed",
            format!("committed as revision {}", committed.revision),
        ),
        Err(error) => (
            error.kind().answer().name,
            format!("not committed ({error})"),
        ),
    };
    shared.metrics.on_event("audit", event);
    log::info!(
        target: "audit",
        "Operator {}, operation {}: {what} {ending}.",
        stamp.operator, stamp.operation_id
    );
}

/// Tells the kind of a record, from what is in force or from its history.
async fn known_id(
    shared: &Arc<Shared>,
    name: &str,
    version: RecordVersion,
    kind: Option<RecordKind>,
) -> Result<RecordId> {
    if let Some(kind) = kind {
        return Ok(RecordId {
            kind,
            name: name.to_owned(),
            version,
        });
    }
    let (head, _) = load_head(&shared.platform).await?;
    if let Ok(entry) = find(&head, name, version, None) {
        return Ok(entry.id.clone());
    }
    load_history(&shared.platform, MAX_HISTORY)
        .await?
        .into_iter()
        .filter_map(|operation| operation.subject)
        .find(|id| id.name == name && id.version == version)
        .ok_or_else(|| unknown(name, version))
}

fn find<'a>(
    head: &'a Head,
    name: &str,
    version: RecordVersion,
    kind: Option<RecordKind>,
) -> Result<&'a HeadEntry> {
    let mut found = head.entries.iter().filter(|entry| {
        let id = &entry.id;
        id.name == name && id.version == version && kind.is_none_or(|kind| kind == id.kind)
    });
    let first = found.next().ok_or_else(|| unknown(name, version))?;
    if found.next().is_some() {
        return Err(Error::new(
            Kind::UnknownRecord,
            format!("{name}/{version} is a route and a service; name one with ?kind="),
        ));
    }
    Ok(first)
}

fn unknown(name: &str, version: RecordVersion) -> Error {
    Error::new(
        Kind::UnknownRecord,
        format!("no record {name}/{version} is in force"),
    )
}
