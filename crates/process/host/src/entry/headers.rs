//! Parses and validates the request headers of a query.

use {
    http::HeaderMap,
    kind::{Error, Kind, Result},
    record::{Rank, RecordVersion, Route, TenantId},
    std::time::Duration,
};

const RANK_HEADER: &str = "x-wharf-rank";
const TENANT_HEADER: &str = "x-wharf-tenant";
const DEADLINE_HEADER: &str = "x-wharf-deadline-ms";
const VERSION_HEADER: &str = "x-wharf-record-version";
const KEY_HEADER: &str = "idempotency-key";

/// Maximum length of a tenant name, in bytes.
const MAX_TENANT_BYTES: usize = 64;
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 128;

/// The validated headers of a query.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct QueryHeaders {
    pub(crate) rank: Rank,
    pub(crate) tenant: TenantId,
    pub(crate) deadline: Option<Duration>,
    pub(crate) record_version: Option<RecordVersion>,
    pub(crate) idempotency_key: Option<String>,
}

impl TryFrom<&HeaderMap> for QueryHeaders {
    type Error = Error;

    fn try_from(headers: &HeaderMap) -> Result<Self> {
        Ok(Self {
            rank: match header_text(headers, RANK_HEADER, Kind::BadRank)? {
                Some(text) => text.parse()?,
                None => Rank::default(),
            },
            tenant: parse_tenant(headers)?,
            deadline: header_number(headers, DEADLINE_HEADER, Kind::BadDeadline)?
                .map(Duration::from_millis),
            record_version: header_number(headers, VERSION_HEADER, Kind::BadVersion)?,
            idempotency_key: parse_idempotency_key(headers)?,
        })
    }
}

impl QueryHeaders {
    /// Returns the caller's deadline, or the default of the route if there is none.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::BadDeadline`] if it is zero or exceeds the route's maximum.
    pub(crate) fn deadline_for(&self, route: &Route) -> Result<Duration> {
        let deadline = self.deadline.unwrap_or(route.default_deadline);
        if deadline.is_zero() || deadline > route.max_deadline {
            return Err(Error::new(
                Kind::BadDeadline,
                format!(
                    "{} ms is out of range, must be 1 to {} ms",
                    deadline.as_millis(),
                    route.max_deadline.as_millis()
                ),
            ));
        }
        Ok(deadline)
    }
}

fn parse_tenant(headers: &HeaderMap) -> Result<TenantId> {
    let tenant = header_text(headers, TENANT_HEADER, Kind::BadTenant)?
        .ok_or_else(|| Error::new(Kind::BadTenant, format!("{TENANT_HEADER} is missing")))?;
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '.';
    if tenant.is_empty() || tenant.len() > MAX_TENANT_BYTES || !tenant.chars().all(is_allowed) {
        return Err(Error::new(
            Kind::BadTenant,
            format!("must be 1 to {MAX_TENANT_BYTES} letters, digits, '-' or '.'"),
        ));
    }
    Ok(tenant.to_owned())
}

fn parse_idempotency_key(headers: &HeaderMap) -> Result<Option<String>> {
    let Some(key) = header_text(headers, KEY_HEADER, Kind::BadKey)? else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(Error::new(
            Kind::BadKey,
            format!("{} bytes, must be 1 to {MAX_KEY_BYTES}", key.len()),
        ));
    }
    Ok(Some(key.to_owned()))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str, kind: Kind) -> Result<Option<&'a str>> {
    headers
        .get(name)
        .map(|value| {
            value
                .to_str()
                .map_err(|_| Error::new(kind, format!("{name} is not visible ASCII text")))
        })
        .transpose()
}

fn header_number<T: std::str::FromStr>(
    headers: &HeaderMap,
    name: &str,
    kind: Kind,
) -> Result<Option<T>> {
    header_text(headers, name, kind)?
        .map(|text| {
            text.parse()
                .map_err(|_| Error::new(kind, format!("{name}: '{text}' is not a whole number")))
        })
        .transpose()
}
