//! Endpoints of the administration API that read and change records.

use {
    crate::{
        admin::{
            extract::{Path, Query, RecordPath, TextBody},
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
        Action, Change, Head, HeadEntry, HeadId, Operation, OperationId, OperationInfo, RawRecord,
        RecordId, RecordKind, RecordVersion, Revision,
    },
    serde::{Deserialize, Serialize},
    serde_json::value::RawValue,
    std::sync::Arc,
    store::{
        body_key_at, commit, find_operation, load_body, load_head, load_history, Commit, Committed,
        MAX_HISTORY,
    },
};

/// Response to an accepted change, which need not be in force on any host yet.
#[derive(Serialize)]
pub(crate) struct Accepted {
    accepted: bool,
    revision: Revision,
    operation_id: OperationId,
    is_repeat: bool,
}

/// Query parameters: the kind of the record, if a route and a service have the
/// same name and version.
#[derive(Deserialize)]
pub(crate) struct KindQuery {
    kind: Option<RecordKind>,
}

/// Query parameters: the kind of the record and the revision to roll back to.
#[derive(Deserialize)]
pub(crate) struct RollBackQuery {
    kind: Option<RecordKind>,
    to_revision: Revision,
}

/// Query parameters: the number of operations of the history to read.
#[derive(Deserialize)]
pub(crate) struct HistoryQuery {
    limit: Option<u64>,
}

/// Response with a record and its revision.
#[derive(Serialize)]
pub(crate) struct RecordResponse {
    #[serde(flatten)]
    id: RecordId,
    revision: Revision,
    record: Box<RawValue>,
}

/// Returns the head of the store, which lists all records.
pub(crate) async fn list(State(shared): State<Arc<Shared>>) -> Result<Response, Problem> {
    let (head, _) = load_head(&shared.platform).await?;
    let tag = head_tag(head.revision);
    Ok(([(header::ETAG, tag)], Json(head)).into_response())
}

/// Returns a record of the head of the store.
pub(crate) async fn get(
    State(shared): State<Arc<Shared>>,
    Path(RecordPath { name, version }): Path<RecordPath>,
    Query(query): Query<KindQuery>,
) -> Result<Response, Problem> {
    let (head, _) = load_head(&shared.platform).await?;
    let entry = find_entry(&head, &name, version, query.kind)?;
    let text = load_body(&shared.platform, &entry.body_key).await?;
    let record = RawValue::from_string(text.to_string())
        .map_err(|e| Error::new(Kind::BadRecord, e.to_string()))?;
    let tag = record_tag(entry.revision);
    let response = RecordResponse {
        id: entry.id.clone(),
        revision: entry.revision,
        record,
    };
    Ok(([(header::ETAG, tag)], Json(response)).into_response())
}

/// Creates or replaces a record.
pub(crate) async fn put(
    State(shared): State<Arc<Shared>>,
    Path(RecordPath { name, version }): Path<RecordPath>,
    headers: HeaderMap,
    TextBody(body): TextBody,
) -> Result<Json<Accepted>, Problem> {
    let raw = RawRecord::from_json(&body)?;
    if raw.name != name || raw.version != version {
        return Err(Problem(Error::new(
            Kind::BadRecord,
            format!("name: the record is not {name}/{version}, which the path names"),
        )));
    }
    let change = Commit::put(&raw, stamp(&headers)?)?;
    commit_change(&shared, &headers, change).await
}

/// Retires a record.
pub(crate) async fn retire(
    State(shared): State<Arc<Shared>>,
    Path(RecordPath { name, version }): Path<RecordPath>,
    Query(query): Query<KindQuery>,
    headers: HeaderMap,
) -> Result<Json<Accepted>, Problem> {
    let stamp = stamp(&headers)?;
    let id = match resolve_id(&shared, &name, version, query.kind).await {
        Ok(id) => id,
        Err(error) => {
            let requested = RequestedChange::new(Action::Retire, &name, version);
            return respond_to_retry(&shared, &headers, &stamp, &requested, error).await;
        }
    };
    let change = Commit::new(Change::Retire { id }, stamp);
    commit_change(&shared, &headers, change).await
}

/// Commits an earlier body of a record again, as a new revision.
pub(crate) async fn roll_back(
    State(shared): State<Arc<Shared>>,
    Path(RecordPath { name, version }): Path<RecordPath>,
    Query(query): Query<RollBackQuery>,
    headers: HeaderMap,
) -> Result<Json<Accepted>, Problem> {
    let stamp = stamp(&headers)?;
    let id = resolve_id(&shared, &name, version, query.kind).await;
    let text = match id {
        Ok(id) => body_at(&shared, &id, query.to_revision).await,
        Err(error) => Err(error),
    };
    let text = match text {
        Ok(text) => text,
        Err(error) => {
            let requested = RequestedChange::new(Action::RollBack, &name, version);
            return respond_to_retry(&shared, &headers, &stamp, &requested, error).await;
        }
    };
    let change = Commit::roll_back(text, stamp)?;
    commit_change(&shared, &headers, change).await
}

async fn body_at(shared: &Shared, id: &RecordId, revision: Revision) -> Result<String> {
    let key = body_key_at(&shared.platform, id, revision).await?;
    Ok(load_body(&shared.platform, &key).await?.to_string())
}

/// The change that a request asks for, to compare it with an earlier operation.
struct RequestedChange<'a> {
    action: Action,
    name: &'a str,
    version: RecordVersion,
}

impl<'a> RequestedChange<'a> {
    fn new(action: Action, name: &'a str, version: RecordVersion) -> Self {
        Self {
            action,
            name,
            version,
        }
    }

    fn matches(&self, operation: &Operation) -> bool {
        let subject = operation.subject.as_ref();
        let is_subject = |id: &RecordId| id.name == self.name && id.version == self.version;
        operation.action == self.action && subject.is_some_and(is_subject)
    }
}

/// Responds to a retry whose record no longer exists with the result of the
/// earlier call, or with `error` if there is none.
async fn respond_to_retry(
    shared: &Shared,
    headers: &HeaderMap,
    stamp: &OperationInfo,
    requested: &RequestedChange<'_>,
    error: Error,
) -> Result<Json<Accepted>, Problem> {
    if error.kind() != Kind::UnknownRecord || !is_repeat(headers) {
        return Err(error.into());
    }
    let found = find_operation(&shared.platform, &stamp.operation_id).await?;
    match found {
        Some(operation) if !requested.matches(&operation) => Err(Problem(Error::new(
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

/// Restores the configuration of this host to the store.
pub(crate) async fn recover(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
) -> Result<Json<Accepted>, Problem> {
    let in_force = shared.in_force();
    let (head, _) = load_head(&shared.platform).await?;
    if head.id() == in_force.head().id() {
        return Err(Problem(Error::new(
            Kind::Conflict,
            "the head of the store is the one in force on this host, so there is nothing to recover",
        )));
    }
    if let Some(newer) = find_newer(&shared, in_force.revision()).await {
        let detail = format!(
            "host {} has the newer revision {} in force, recover from that host",
            newer.host, newer.revision
        );
        return Err(Problem(Error::new(Kind::Conflict, detail)));
    }
    let change = Commit::recover(in_force.bundle(), stamp(&headers)?);
    commit_change(&shared, &headers, change).await
}

/// Returns the last operations, newest first.
pub(crate) async fn history(
    State(shared): State<Arc<Shared>>,
    Query(query): Query<HistoryQuery>,
) -> Result<Json<Vec<Operation>>, Problem> {
    let limit = query.limit.unwrap_or(MAX_HISTORY);
    Ok(Json(load_history(&shared.platform, limit).await?))
}

/// Returns those of the last operations that concern one record, newest first.
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

async fn commit_change(
    shared: &Arc<Shared>,
    headers: &HeaderMap,
    change: Commit,
) -> Result<Json<Accepted>, Problem> {
    let in_force: HeadId = shared.in_force().head().id();
    let mut change = change
        .with_precondition(precondition(headers)?)
        .with_local_head(in_force);
    if is_repeat(headers) {
        change = change.as_repeat();
    }
    let stamp = change.stamp().clone();
    let what = change.change().to_string();
    let result = commit(&shared.platform, change).await;
    log_to_audit(shared, &stamp, &what, &result);
    if result
        .as_ref()
        .is_err_and(|e| e.kind() == Kind::StoreReverted)
    {
        config::check_store_head(shared).await;
    }
    let committed = result?;
    Ok(Json(Accepted {
        accepted: true,
        revision: committed.revision,
        operation_id: stamp.operation_id,
        is_repeat: committed.is_repeat,
    }))
}

fn log_to_audit(shared: &Shared, stamp: &OperationInfo, what: &str, result: &Result<Committed>) {
    let (event, outcome) = match result {
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
        "Operator {}, operation {}: {what} {outcome}.",
        stamp.operator, stamp.operation_id
    );
}

/// Returns the identifier of a record, whose kind is looked up in the head or else
/// in the history if it is not given.
async fn resolve_id(
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
    if let Ok(entry) = find_entry(&head, name, version, None) {
        return Ok(entry.id.clone());
    }
    load_history(&shared.platform, MAX_HISTORY)
        .await?
        .into_iter()
        .filter_map(|operation| operation.subject)
        .find(|id| id.name == name && id.version == version)
        .ok_or_else(|| unknown_record(name, version))
}

fn find_entry<'a>(
    head: &'a Head,
    name: &str,
    version: RecordVersion,
    kind: Option<RecordKind>,
) -> Result<&'a HeadEntry> {
    let mut found = head.entries.iter().filter(|entry| {
        let id = &entry.id;
        id.name == name && id.version == version && kind.is_none_or(|kind| kind == id.kind)
    });
    let first = found.next().ok_or_else(|| unknown_record(name, version))?;
    if found.next().is_some() {
        return Err(Error::new(
            Kind::UnknownRecord,
            format!("{name}/{version} is both a route and a service; select one with ?kind="),
        ));
    }
    Ok(first)
}

fn unknown_record(name: &str, version: RecordVersion) -> Error {
    Error::new(
        Kind::UnknownRecord,
        format!("no record {name}/{version} is in force"),
    )
}
