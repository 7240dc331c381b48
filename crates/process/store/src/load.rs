//! Reads the head and the bodies that it names.

use {
    crate::{body::content_key, Fault, Platform, Value},
    kind::{Error, Kind, Result},
    record::{Bundle, Head},
    std::{
        collections::{BTreeMap, HashMap},
        sync::Arc,
    },
};

/// Key of the head.
pub const HEAD_KEY: &str = "wharf/head";

/// Reads the head and the value that it was parsed from; a missing head is read as an
/// empty one.
///
/// # Errors
///
/// Returns [`Kind::StoreDown`] or [`Kind::BadRecord`].
pub async fn load_head<P: Platform>(platform: &P) -> Result<(Head, Option<Value>)> {
    match platform.get(HEAD_KEY).await.map_err(read_error)? {
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
        .map_err(read_error)?
        .ok_or_else(|| Error::new(Kind::BadRecord, format!("the body '{key}' is missing")))?;
    Ok(Arc::from(String::from_utf8_lossy(&value.bytes)))
}

/// Returns `head` with its bodies; reads those from the store that `cached` does not have.
///
/// # Errors
///
/// Returns [`Kind::StoreDown`], or [`Kind::BadRecord`] if a body is missing.
pub async fn load_bundle<P: Platform>(platform: &P, head: Head, cached: &Bundle) -> Result<Bundle> {
    let texts = cached.bodies.iter();
    let texts: HashMap<_, _> = texts.map(|(key, text)| (content_key(key), text)).collect();
    let mut bodies = BTreeMap::new();
    for entry in &head.entries {
        let key = &entry.body_key;
        if bodies.contains_key(key) {
            continue;
        }
        let text = match texts.get(content_key(key)) {
            Some(text) => Arc::clone(*text),
            None => load_body(platform, key).await?,
        };
        bodies.insert(key.clone(), text);
    }
    Ok(Bundle { head, bodies })
}

/// Converts the fault of a read into an error.
///
/// A read has no effect, so even an unknown outcome is reported as [`Kind::StoreDown`].
pub(crate) fn read_error(fault: Fault) -> Error {
    match fault {
        Fault::Conflict => Error::new(Kind::StoreDown, "the store reported a conflict for a read"),
        Fault::Unreachable(detail) | Fault::Unknown(detail) => Error::new(Kind::StoreDown, detail),
    }
}
