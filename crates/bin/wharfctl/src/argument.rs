//! Parsers that validate arguments before any request is sent.

use {http::uri::Authority, record::OperationInfo};

/// Parses the name of a record.
pub(crate) fn parse_record_name(text: &str) -> Result<String, String> {
    match record::check_name("name", text) {
        Ok(()) => Ok(text.to_owned()),
        Err(error) => Err(error.detail().to_owned()),
    }
}

/// Parses an operation ID or the name of an operator.
pub(crate) fn parse_stamp_text(text: &str) -> Result<String, String> {
    if OperationInfo::is_valid_identifier(text) {
        return Ok(text.to_owned());
    }
    Err(format!(
        "allowed are 1 to {} letters, digits, '-', '.', '_' and '@'",
        OperationInfo::MAX_BYTES
    ))
}

/// Parses the address of a host, which needs a port.
pub(crate) fn parse_host_addr(text: &str) -> Result<String, String> {
    let authority: Option<Authority> = text.parse().ok();
    match authority.and_then(|authority| authority.port_u16()) {
        Some(_) => Ok(text.to_owned()),
        None => Err("needed is a host with a port, such as 127.0.0.1:7002".to_owned()),
    }
}
