//! What an operator states in headers, checked.

use {
    http::{header, HeaderMap},
    kind::{Error, Kind, Result},
    record::{Precondition, Revision, Stamp},
};

/// Header with the identifier of an operation; a repeat carries the same.
const OPERATION_HEADER: &str = "x-wharf-operation-id";
/// Header by which a repeat says that it is one.
const REPEAT_HEADER: &str = "x-wharf-repeat";
/// Header with the name of the operator.
const OPERATOR_HEADER: &str = "x-wharf-operator";
/// Operator of a change that names none.
const UNNAMED_OPERATOR: &str = "unnamed";

const RECORD_TAG: &str = "record-";
const HEAD_TAG: &str = "head-";

/// Returns the entity tag of a record.
pub(crate) fn record_tag(revision: Revision) -> String {
    format!("\"{RECORD_TAG}{revision}\"")
}

/// Returns the entity tag of the head.
pub(crate) fn head_tag(revision: Revision) -> String {
    format!("\"{HEAD_TAG}{revision}\"")
}

/// Reads who makes a change, under which identifier.
///
/// # Errors
///
/// Returns [`Kind::BadPrecondition`] for a malformed identifier or name.
pub(crate) fn stamp(headers: &HeaderMap) -> Result<Stamp> {
    Ok(Stamp {
        operation_id: checked(headers, OPERATION_HEADER)?
            .unwrap_or_else(|| format!("{:032x}", rand::random::<u128>())),
        operator: checked(headers, OPERATOR_HEADER)?.unwrap_or_else(|| UNNAMED_OPERATOR.to_owned()),
    })
}

/// Tells whether an earlier call of the same operation may have committed it.
pub(crate) fn is_repeat(headers: &HeaderMap) -> bool {
    // Whoever sends anything else is not sure that it is the first call.
    headers
        .get(REPEAT_HEADER)
        .is_some_and(|value| value != "false")
}

/// Reads what the operator expects to find.
///
/// # Errors
///
/// Returns [`Kind::BadPrecondition`] for anything but the forms that this API
/// gives out itself.
pub(crate) fn precondition(headers: &HeaderMap) -> Result<Precondition> {
    let if_match = text(headers, header::IF_MATCH.as_str())?;
    let if_none_match = text(headers, header::IF_NONE_MATCH.as_str())?;
    match (if_match, if_none_match) {
        (None, None) => Ok(Precondition::None),
        (None, Some("*")) => Ok(Precondition::Absent),
        (Some(tag), None) => read_tag(tag),
        _ => Err(malformed("allowed is one of if-match and if-none-match: *")),
    }
}

fn read_tag(tag: &str) -> Result<Precondition> {
    let inner = tag.trim().trim_matches('"');
    let revision = |text: &str| text.parse::<Revision>().ok();
    if let Some(revision) = inner.strip_prefix(RECORD_TAG).and_then(revision) {
        return Ok(Precondition::Record(revision));
    }
    if let Some(revision) = inner.strip_prefix(HEAD_TAG).and_then(revision) {
        return Ok(Precondition::Head(revision));
    }
    Err(malformed(&format!(
        "if-match: '{tag}' is none of \"record-REVISION\", \"head-REVISION\""
    )))
}

fn checked(headers: &HeaderMap, name: &str) -> Result<Option<String>> {
    let Some(found) = text(headers, name)? else {
        return Ok(None);
    };
    if !Stamp::is_allowed(found) {
        return Err(malformed(&format!(
            "{name}: allowed are 1 to {} letters, digits, '-', '.', '_' and '@'",
            Stamp::MAX_BYTES
        )));
    }
    Ok(Some(found.to_owned()))
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>> {
    headers
        .get(name)
        .map(|value| {
            value
                .to_str()
                .map_err(|_| malformed(&format!("{name} is not text")))
        })
        .transpose()
}

fn malformed(detail: &str) -> Error {
    Error::new(Kind::BadPrecondition, detail)
}
