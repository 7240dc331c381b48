//! Reading the head and the bodies it names.

use {
    crate::{Platform, Value},
    kind::{Error, Kind, Result},
    record::{Head, InForce, Record},
    std::collections::HashMap,
};

/// Key of the head.
pub const HEAD_KEY: &str = "wharf/head";

/// Reads the head with the revision of its key; an absent head is empty.
///
/// # Errors
///
/// Returns [`Kind::StoreDown`] or [`Kind::BadRecord`].
pub async fn load_head<P: Platform>(platform: &P) -> Result<(Head, Option<Value>)> {
    match platform.get(HEAD_KEY).await? {
        None => Ok((Head::default(), None)),
        Some(value) => Ok((Head::from_json(&value.bytes)?, Some(value))),
    }
}

/// Reads every body that the head names.
///
/// # Errors
///
/// Returns [`Kind::StoreDown`], or [`Kind::BadRecord`] if a body is missing.
pub async fn load_in_force<P: Platform>(platform: &P, head: &Head) -> Result<InForce> {
    let mut records = HashMap::new();
    for entry in &head.entries {
        let value = platform.get(&entry.body_key).await?.ok_or_else(|| {
            Error::new(
                Kind::BadRecord,
                format!("the body '{}' is missing", entry.body_key),
            )
        })?;
        let text = String::from_utf8_lossy(&value.bytes);
        records.insert(entry.body_key.clone(), Record::from_json(&text)?);
    }
    InForce::build(head, |entry| {
        records.remove(&entry.body_key).ok_or_else(|| {
            Error::new(
                Kind::BadRecord,
                format!("the body '{}' stands twice", entry.body_key),
            )
        })
    })
}
