//! History of committed operations.
//!
//! The head lists the latest operations. Before it drops one, the operation is
//! stored under two immutable keys: one by revision, so that the history has no
//! gaps, and one by operation identifier, so that a repeated call finds it
//! regardless of the number of operations since. Readers limit how far back they
//! go.

use {
    crate::{load::read_error, load_head, Platform, Value},
    kind::{Error, Kind, Result},
    record::{Operation, RecordId, Revision},
};

/// Maximum number of revisions that one call reads back.
pub const MAX_HISTORY: u64 = 256;

/// Returns the key of the operation that created `revision`.
pub(crate) fn history_key(revision: Revision) -> String {
    format!("wharf/history/{revision:020}")
}

/// Returns the key under which an operation that the head no longer lists is stored by
/// its identifier.
pub(crate) fn operation_key(operation_id: &str) -> String {
    format!("wharf/operation/{operation_id}")
}

/// Finds a committed operation by its identifier.
///
/// # Errors
///
/// Returns [`Kind::StoreDown`] or [`Kind::BadRecord`].
pub async fn find_operation<P: Platform>(
    platform: &P,
    operation_id: &str,
) -> Result<Option<Operation>> {
    let (head, _) = load_head(platform).await?;
    if let Some(operation) = head.operation(operation_id) {
        return Ok(Some(operation.clone()));
    }
    load_operation(platform, &operation_key(operation_id)).await
}

/// Reads the operations of the last `limit` revisions, newest first.
///
/// # Errors
///
/// Returns [`Kind::StoreDown`] or [`Kind::BadRecord`].
pub async fn load_history<P: Platform>(platform: &P, limit: u64) -> Result<Vec<Operation>> {
    let (head, _) = load_head(platform).await?;
    let lower_bound = head.revision.saturating_sub(limit.min(MAX_HISTORY));
    let mut operations: Vec<_> = head.operations;
    operations.reverse();
    operations.retain(|operation| operation.revision > lower_bound);
    let mut revision = operations.last().map_or(0, |oldest| oldest.revision);
    while revision > lower_bound + 1 {
        revision -= 1;
        match load_operation(platform, &history_key(revision)).await? {
            Some(operation) => operations.push(operation),
            // A recovery skips the revisions that the store lost.
            None => continue,
        }
    }
    Ok(operations)
}

/// Returns the key of the body that a record had at `revision`.
///
/// # Errors
///
/// Returns [`Kind::StoreDown`], [`Kind::BadRecord`], or [`Kind::UnknownRecord`] if the
/// record had no body at that revision or the revision is too old or does not exist yet.
pub async fn body_key_at<P: Platform>(
    platform: &P,
    id: &RecordId,
    revision: Revision,
) -> Result<String> {
    let at_revision = load_operation(platform, &history_key(revision)).await?;
    let at_revision = at_revision.filter(|o| o.subject.as_ref() == Some(id));
    if let Some(key) = at_revision.and_then(|operation| operation.body_key) {
        return Ok(key);
    }
    let history = load_history(platform, MAX_HISTORY).await?;
    let newest = history.first().map_or(0, |operation| operation.revision);
    if revision > newest {
        let detail = format!("revision {revision} does not exist, the newest is {newest}");
        return Err(Error::new(Kind::UnknownRecord, detail));
    }
    history
        .into_iter()
        .find(|o| o.revision <= revision && o.subject.as_ref() == Some(id))
        .and_then(|operation| operation.body_key)
        .ok_or_else(|| {
            Error::new(
                Kind::UnknownRecord,
                format!("{id} has no body at revision {revision} within {MAX_HISTORY} revisions"),
            )
        })
}

async fn load_operation<P: Platform>(platform: &P, key: &str) -> Result<Option<Operation>> {
    let value = platform.get(key).await.map_err(read_error)?;
    value.as_ref().map(read_operation).transpose()
}

/// Parses the stored entry of an operation that the head no longer lists.
pub(crate) fn read_operation(value: &Value) -> Result<Operation> {
    serde_json::from_slice(&value.bytes)
        .map_err(|e| Error::new(Kind::BadRecord, format!("malformed operation: {e}")))
}
