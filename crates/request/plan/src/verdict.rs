//! Whether an answer is good enough for its route, and which error it is if not.

use {
    crate::{CoverageReport, Reason},
    kind::{Error, Kind, Ran, Result},
    record::Coverage,
    std::time::Duration,
};

/// Time after which a repeat may find upstreams that take work again.
const SHED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Checks what an answer covers against the demands of its route.
///
/// # Errors
///
/// Returns the error that fits what happened to the shards, with `ran` as the
/// calls showed it: [`Kind::LowCoverage`] if some shards answered or the
/// reasons differ, else the kind of the one reason.
pub fn verdict(report: &CoverageReport, ran: Ran, demand: &Coverage) -> Result<()> {
    if !report.covered.is_empty() && report.share() >= demand.min_share {
        return Ok(());
    }
    let error = Error::new(kind_of(report), lacking(report)).with_ran(ran);
    Err(match error.kind() {
        Kind::Shed => error.with_retry_after(SHED_RETRY_AFTER),
        _ => error,
    })
}

fn kind_of(report: &CoverageReport) -> Kind {
    let Some(first) = report.missing.first() else {
        return Kind::LowCoverage;
    };
    let kind = reason_kind(first.reason);
    let is_alike = report
        .missing
        .iter()
        .all(|missing| reason_kind(missing.reason) == kind);
    if report.covered.is_empty() && is_alike {
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

fn lacking(report: &CoverageReport) -> String {
    let shards: Vec<_> = report
        .missing
        .iter()
        .map(|m| format!("{} ({:?})", m.shard, m.reason))
        .collect();
    format!("missing shards: {}", shards.join(", "))
}
