//! Checks whether the coverage of an answer meets the requirements of its route.

use {
    crate::{CoverageReport, Reason},
    kind::{Error, Kind, Ran, Result},
    record::Coverage,
    std::time::Duration,
};

/// Retry time reported to the caller if upstreams shed the request, after which
/// they may accept work again.
const SHED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Checks the coverage of an answer against the requirements of its route.
///
/// # Errors
///
/// Returns an error with the given `ran` if the coverage is insufficient. Its
/// kind is [`Kind::LowCoverage`] if some shards answered or the missing shards
/// have reasons of different kinds, and otherwise the kind of their reason.
pub fn check_coverage(report: &CoverageReport, ran: Ran, required: &Coverage) -> Result<()> {
    if !report.covered.is_empty() && report.share() >= required.min_share {
        return Ok(());
    }
    let error = Error::new(error_kind(report), describe_missing(report)).with_ran(ran);
    Err(match error.kind() {
        Kind::Shed => error.with_retry_after(SHED_RETRY_AFTER),
        _ => error,
    })
}

fn error_kind(report: &CoverageReport) -> Kind {
    let Some(first) = report.missing.first() else {
        return Kind::LowCoverage;
    };
    let kind = reason_kind(first.reason);
    let is_uniform = report
        .missing
        .iter()
        .all(|missing| reason_kind(missing.reason) == kind);
    if report.covered.is_empty() && is_uniform {
        kind
    } else {
        Kind::LowCoverage
    }
}

const fn reason_kind(reason: Reason) -> Kind {
    match reason {
        Reason::Deadline | Reason::NotAwaited => Kind::DeadlineExceeded,
        Reason::Unreachable => Kind::Unreachable,
        Reason::Shed | Reason::Draining => Kind::Shed,
        Reason::Lost | Reason::Mismatch => Kind::UpstreamLost,
        Reason::Quarantined => Kind::Quarantined,
        Reason::VersionGone => Kind::LowCoverage,
    }
}

fn describe_missing(report: &CoverageReport) -> String {
    let shards: Vec<_> = report
        .missing
        .iter()
        .map(|m| format!("{} ({:?})", m.shard, m.reason))
        .collect();
    format!("missing shards: {}", shards.join(", "))
}
