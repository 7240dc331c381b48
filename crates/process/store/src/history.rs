//! The history of operations.
//!
//! The head names the last operations. An operation that leaves the head was
//! written under two immutable keys before: one of its revision, so that the
//! history has no gaps, and one of its identifier, so that a repeat finds it
//! however many operations came since. Readers bound how far back they go.

use {
    crate::{load::unread, load_head, Platform, Value},
    kind::{Error, Kind, Result},
    record::{Operation, RecordId, Revision},
};

/// Most revisions that one call looks back.
pub const MAX_HISTORY: u64 = 256;

/// Returns the key of the operation that made `revision`.
pub(crate) fn history_key(revision: Revision) -> String {
    format!("wharf/history/{revision:020}")
}

/// Returns the key under which an operation that has left the head is found by its identifier.
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

/// Reads the operations of the last `limit` revisions, the newest first.
///
/// # Errors
///
/// Returns [`Kind::StoreDown`] or [`Kind::BadRecord`].
pub async fn load_history<P: Platform>(platform: &P, limit: u64) -> Result<Vec<Operation>> {
    let (head, _) = load_head(platform).await?;
    let least = head.revision.saturating_sub(limit.min(MAX_HISTORY));
    let mut found: Vec<_> = head.operations;
    found.reverse();
    found.retain(|operation| operation.revision > least);
    let mut revision = found.last().map_or(0, |oldest| oldest.revision);
    while revision > least + 1 {
        revision -= 1;
        match load_operation(platform, &history_key(revision)).await? {
            Some(operation) => found.push(operation),
            // A recovery skips the revisions that the store had lost.
            None => continue,
        }
    }
    Ok(found)
}

/// Finds the body of a record as it was at `revision`.
///
/// # Errors
///
/// Returns [`Kind::StoreDown`], or [`Kind::UnknownRecord`] if the record had
/// no body then or the revision lies too far back or in the future.
pub async fn body_key_at<P: Platform>(
    platform: &P,
    id: &RecordId,
    revision: Revision,
) -> Result<String> {
    let direct = load_operation(platform, &history_key(revision)).await?;
    let direct = direct.filter(|o| o.subject.as_ref() == Some(id));
    if let Some(key) = direct.and_then(|operation| operation.body_key) {
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
    let value = platform.get(key).await.map_err(unread)?;
    value.as_ref().map(read_operation).transpose()
}

/// Reads an operation that has left the head.
pub(crate) fn read_operation(value: &Value) -> Result<Operation> {
    serde_json::from_slice(&value.bytes)
        .map_err(|e| Error::new(Kind::BadRecord, format!("operation: {e}")))
}
