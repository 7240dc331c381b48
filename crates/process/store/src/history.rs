//! The history of operations.
//!
//! The head names the last operations. An operation that leaves the head was
//! written under an immutable key of its revision before, so that the history
//! has no gaps. Readers bound how far back they go.

use {
    crate::{load::unread, load_head, Platform},
    kind::{Error, Kind, Result},
    record::{Operation, RecordId, Revision},
};

/// Most revisions that one call looks back.
pub const MAX_HISTORY: u64 = 256;

/// Returns the key of the operation that made `revision`.
pub(crate) fn history_key(revision: Revision) -> String {
    format!("wharf/history/{revision:020}")
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
        match load_operation(platform, revision).await? {
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
/// no body then or the revision lies too far back.
pub async fn body_key_at<P: Platform>(
    platform: &P,
    id: &RecordId,
    revision: Revision,
) -> Result<String> {
    load_history(platform, MAX_HISTORY)
        .await?
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

async fn load_operation<P: Platform>(
    platform: &P,
    revision: Revision,
) -> Result<Option<Operation>> {
    let value = platform.get(&history_key(revision)).await.map_err(unread)?;
    value
        .map(|v| {
            serde_json::from_slice(&v.bytes)
                .map_err(|e| Error::new(Kind::BadRecord, format!("history {revision}: {e}")))
        })
        .transpose()
}
