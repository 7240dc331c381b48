//! Reading the head and the bodies it names.

use {
    crate::{body::content_of, Fault, Platform, Value},
    kind::{Error, Kind, Result},
    record::{Bundle, Head},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
};

/// Key of the head.
pub const HEAD_KEY: &str = "wharf/head";

/// Reads the head with the revision of its key; an absent head is empty.
///
/// # Errors
///
/// Returns [`Kind::StoreDown`] or [`Kind::BadRecord`].
pub async fn load_head<P: Platform>(platform: &P) -> Result<(Head, Option<Value>)> {
    match platform.get(HEAD_KEY).await.map_err(unread)? {
        None => Ok((Head::default(), None)),
        Some(value) => Ok((Head::from_json(&value.bytes)?, Some(value))),
    }
}

/// Reads the text of a body.
///
/// # Errors
///
/// Returns [`Kind::StoreDown`], or [`Kind::BadRecord`] if the body is missing.
pub async fn load_body<P: Platform>(platform: &P, key: &str) -> Result<Arc<str>> {
    let value = platform
        .get(key)
        .await
        .map_err(unread)?
        .ok_or_else(|| Error::new(Kind::BadRecord, format!("the body '{key}' is missing")))?;
    Ok(Arc::from(String::from_utf8_lossy(&value.bytes)))
}

/// Reads the bodies that `head` names and `held` lacks, and takes the others from there.
///
/// # Errors
///
/// Returns [`Kind::StoreDown`], or [`Kind::BadRecord`] if a body is missing.
pub async fn load_bundle<P: Platform>(platform: &P, head: Head, held: &Bundle) -> Result<Bundle> {
    let texts = held.bodies.iter();
    let texts: HashMap<_, _> = texts.map(|(key, text)| (content_of(key), text)).collect();
    let mut bodies = BTreeMap::new();
    for entry in &head.entries {
        let key = &entry.body_key;
        if bodies.contains_key(key) {
            continue;
        }
        let text = match texts.get(content_of(key)) {
            Some(text) => Arc::clone(*text),
            None => load_body(platform, key).await?,
        };
        bodies.insert(key.clone(), text);
    }
    Ok(Bundle { head, bodies })
}

/// Creates the error for a failed read, which changes nothing however it fails.
pub(crate) fn unread(fault: Fault) -> Error {
    match fault {
        Fault::Conflict => Error::new(Kind::StoreDown, "the read was refused"),
        Fault::Unreachable(detail) | Fault::Unknown(detail) => Error::new(Kind::StoreDown, detail),
    }
}
