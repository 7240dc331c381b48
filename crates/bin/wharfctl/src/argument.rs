//! Checks of arguments, made before anything is sent.

use {http::uri::Authority, record::Stamp};

/// Reads the name of a record.
pub(crate) fn record_name(text: &str) -> Result<String, String> {
    match record::check_name("name", text) {
        Ok(()) => Ok(text.to_owned()),
        Err(error) => Err(error.detail().to_owned()),
    }
}

/// Reads the identifier of an operation or the name of an operator.
pub(crate) fn stamp_text(text: &str) -> Result<String, String> {
    if Stamp::is_allowed(text) {
        return Ok(text.to_owned());
    }
    Err(format!(
        "allowed are 1 to {} letters, digits, '-', '.', '_' and '@'",
        Stamp::MAX_BYTES
    ))
}

/// Reads the address of a host.
pub(crate) fn host_addr(text: &str) -> Result<String, String> {
    let authority: Option<Authority> = text.parse().ok();
    match authority.and_then(|authority| authority.port_u16()) {
        Some(_) => Ok(text.to_owned()),
        None => Err("needed is a host with a port, such as 127.0.0.1:7002".to_owned()),
    }
}
