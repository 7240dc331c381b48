//! Fingerprints, by which the quarantine recognizes equal requests.
//!
//! A fingerprint covers the route and the query. It leaves out tenant, ids,
//! whitespace and the order of keys, so that a poison request is recognized when
//! a caller sends it again.

use {
    serde_json::Value,
    xxhash_rust::xxh3::{xxh3_64, Xxh3},
};

/// A hash that identifies equal requests.
pub type Fingerprint = u64;

/// Returns the fingerprint of a query to a route.
///
/// # Examples
///
/// ```
/// use link::fingerprint;
///
/// let one = fingerprint("shortfall", r#"{"item": "barrel", "booth": 7}"#);
/// let same = fingerprint("shortfall", r#"{"booth":7,"item":"barrel"}"#);
/// let other = fingerprint("shortfall", r#"{"booth":8,"item":"barrel"}"#);
/// assert_eq!(one, same);
/// assert_ne!(one, other);
/// ```
pub fn fingerprint(route: &str, query: &str) -> Fingerprint {
    let mut hash = Xxh3::new();
    add_text(&mut hash, b'r', route);
    match serde_json::from_str::<Value>(query) {
        Ok(value) => add_value(&mut hash, &value),
        // A query that is not valid JSON is hashed as text.
        Err(_) => add_text(&mut hash, b'x', query),
    }
    hash.digest()
}

/// Returns the fingerprint of a request that consists of `fields`, such as its
/// method, path and body.
pub fn fingerprint_of_fields<'a>(fields: impl IntoIterator<Item = &'a [u8]>) -> Fingerprint {
    let mut hash = Xxh3::new();
    for field in fields {
        add_length(&mut hash, b'f', field.len());
        hash.update(field);
    }
    hash.digest()
}

fn add_value(hash: &mut Xxh3, value: &Value) {
    match value {
        Value::Null => hash.update(b"n"),
        Value::Bool(value) => hash.update(if *value { b"t" } else { b"f" }),
        Value::Number(number) => add_text(hash, b'd', &number.to_string()),
        Value::String(text) => add_text(hash, b's', text),
        Value::Array(items) => {
            add_length(hash, b'a', items.len());
            items.iter().for_each(|item| add_value(hash, item));
        }
        Value::Object(fields) => {
            add_length(hash, b'o', fields.len());
            // A sum of hashes does not depend on the order of the keys.
            let sum = fields.iter().fold(0_u64, |sum, (key, value)| {
                sum.wrapping_add(field_hash(key, value))
            });
            hash.update(&sum.to_le_bytes());
        }
    }
}

fn field_hash(key: &str, value: &Value) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(&xxh3_64(key.as_bytes()).to_le_bytes());
    add_value(&mut hash, value);
    hash.digest()
}

fn add_text(hash: &mut Xxh3, tag: u8, text: &str) {
    add_length(hash, tag, text.len());
    hash.update(text.as_bytes());
}

fn add_length(hash: &mut Xxh3, tag: u8, length: usize) {
    hash.update(&[tag]);
    hash.update(&(length as u64).to_le_bytes());
}

/// Returns the weight of a host for a fingerprint; the host with the highest is its owner.
///
/// A request that has had no success goes to the owner of its fingerprint first, so
/// that all its canaries run on one relay, whichever entry it comes through.
pub fn owner_weight(fingerprint: Fingerprint, host_id: &str) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(&fingerprint.to_le_bytes());
    hash.update(host_id.as_bytes());
    hash.digest()
}
