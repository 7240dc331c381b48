//! Parsing of the request headers of the administration API.

use {
    http::{header, HeaderMap},
    kind::{Error, Kind, Result},
    record::{OperationInfo, Precondition, Revision},
};

/// Header with the identifier of an operation, which is the same in retries.
const OPERATION_HEADER: &str = "x-wharf-operation-id";
/// Header that marks a request as a retry of an earlier one.
const REPEAT_HEADER: &str = "x-wharf-repeat";
/// Header with the name of the operator.
const OPERATOR_HEADER: &str = "x-wharf-operator";
/// Operator recorded for a change without the operator header.
const UNNAMED_OPERATOR: &str = "unnamed";

/// Prefix of the entity tag of a record, before its revision.
const RECORD_TAG_PREFIX: &str = "record-";
/// Prefix of the entity tag of the head, before its revision.
const HEAD_TAG_PREFIX: &str = "head-";

/// Returns the entity tag of a record.
pub(crate) fn record_tag(revision: Revision) -> String {
    format!("\"{RECORD_TAG_PREFIX}{revision}\"")
}

/// Returns the entity tag of the head.
pub(crate) fn head_tag(revision: Revision) -> String {
    format!("\"{HEAD_TAG_PREFIX}{revision}\"")
}

/// Returns the operator and the operation identifier of a change.
///
/// The identifier is random if the header is absent.
///
/// # Errors
///
/// Returns [`Kind::BadPrecondition`] for a malformed identifier or
/// operator name.
pub(crate) fn stamp(headers: &HeaderMap) -> Result<OperationInfo> {
    Ok(OperationInfo {
        operation_id: validated_header(headers, OPERATION_HEADER)?
            .unwrap_or_else(|| format!("{:032x}", rand::random::<u128>())),
        operator: validated_header(headers, OPERATOR_HEADER)?
            .unwrap_or_else(|| UNNAMED_OPERATOR.to_owned()),
    })
}

/// Returns whether the request is a retry, so that an earlier call may have
/// committed the same operation.
pub(crate) fn is_repeat(headers: &HeaderMap) -> bool {
    // Any other value means that the sender is not sure that this is the first
    // call.
    headers
        .get(REPEAT_HEADER)
        .is_some_and(|value| value != "false")
}

/// Returns the precondition of a change.
///
/// # Errors
///
/// Returns [`Kind::BadPrecondition`] for any form but `if-none-match: *` and
/// the entity tags of this API.
pub(crate) fn precondition(headers: &HeaderMap) -> Result<Precondition> {
    let if_match = header_text(headers, header::IF_MATCH.as_str())?;
    let if_none_match = header_text(headers, header::IF_NONE_MATCH.as_str())?;
    match (if_match, if_none_match) {
        (None, None) => Ok(Precondition::None),
        (None, Some("*")) => Ok(Precondition::Absent),
        (Some(tag), None) => parse_tag(tag),
        _ => Err(bad_precondition(
            "either if-match or 'if-none-match: *' is allowed",
        )),
    }
}

fn parse_tag(tag: &str) -> Result<Precondition> {
    let inner = tag.trim().trim_matches('"');
    let revision = |text: &str| text.parse::<Revision>().ok();
    if let Some(revision) = inner.strip_prefix(RECORD_TAG_PREFIX).and_then(revision) {
        return Ok(Precondition::Record(revision));
    }
    if let Some(revision) = inner.strip_prefix(HEAD_TAG_PREFIX).and_then(revision) {
        return Ok(Precondition::Head(revision));
    }
    Err(bad_precondition(&format!(
        "if-match: '{tag}' is neither \"record-REVISION\" nor \"head-REVISION\""
    )))
}

fn validated_header(headers: &HeaderMap, name: &str) -> Result<Option<String>> {
    let Some(value) = header_text(headers, name)? else {
        return Ok(None);
    };
    if !OperationInfo::is_valid_identifier(value) {
        return Err(bad_precondition(&format!(
            "{name}: allowed are 1 to {} letters, digits, '-', '.', '_' and '@'",
            OperationInfo::MAX_BYTES
        )));
    }
    Ok(Some(value.to_owned()))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>> {
    headers
        .get(name)
        .map(|value| {
            value
                .to_str()
                .map_err(|_| bad_precondition(&format!("{name}: the value is not visible ASCII")))
        })
        .transpose()
}

fn bad_precondition(detail: &str) -> Error {
    Error::new(Kind::BadPrecondition, detail)
}
