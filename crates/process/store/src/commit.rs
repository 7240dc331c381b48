//! Commit of a record: an immutable body first, then the head.

use {
    crate::{load_head, Expected, Fault, Platform, HEAD_KEY},
    bytes::Bytes,
    kind::{Error, Kind, Result},
    record::{HeadEntry, RawRecord, Record, Revision},
    xxhash_rust::xxh3::xxh3_128,
};

/// Commits a record and returns the revision that brings it into force.
///
/// # Errors
///
/// Returns [`Kind::BadRecord`], [`Kind::Conflict`], [`Kind::StoreDown`] or
/// [`Kind::StoreUnknown`].
pub async fn commit_record<P: Platform>(
    platform: &P,
    raw: &RawRecord,
    operation_id: &str,
) -> Result<Revision> {
    let record = Record::try_from(raw.clone())?;
    let body = raw.to_json();
    let entry = HeadEntry {
        kind: record.kind(),
        name: record.name().to_owned(),
        version: record.version(),
        body_key: body_key(&record, &body),
    };
    write_body(platform, &entry.body_key, body).await?;
    let (head, value) = load_head(platform).await?;
    let next = head.with_entry(entry, operation_id);
    let expected = value.map_or(Expected::Absent, |v| Expected::At(v.key_revision));
    match platform
        .put(HEAD_KEY, expected, Bytes::from(next.to_json()))
        .await
    {
        Ok(_) => Ok(next.revision),
        Err(Fault::Conflict) => Err(Error::new(
            Kind::Conflict,
            format!("the head moved on from revision {}", head.revision),
        )),
        Err(fault) => Err(fault.into()),
    }
}

fn body_key(record: &Record, body: &str) -> String {
    format!(
        "wharf/body/{}/{}/{}/{:032x}",
        record.kind().as_str(),
        record.name(),
        record.version(),
        xxh3_128(body.as_bytes())
    )
}

async fn write_body<P: Platform>(platform: &P, key: &str, body: String) -> Result<()> {
    match platform.put(key, Expected::Absent, Bytes::from(body)).await {
        // The key carries the hash of the body, so a body that is there is this one.
        Ok(_) | Err(Fault::Conflict) => Ok(()),
        Err(fault) => Err(fault.into()),
    }
}
