//! Validated route records.

use {
    crate::{
        invalid_field,
        limits::{MAX_DEADLINE_MS, MAX_NAME_CHARS, MAX_RETENTION_HOURS},
        ByRank, Rank, RawCoverage, RawFloors, RawHedge, RawRecord, RecordVersion,
    },
    kind::{Error, Result},
    std::time::Duration,
};

/// A validated route, which defines how callers query a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name that callers use to select the route.
    pub name: String,
    /// Version of the record.
    pub version: RecordVersion,
    /// Name of the service that the route uses.
    pub service: String,
    /// Whether a request may be executed more than once.
    pub repeatable: bool,
    /// Deadline of a request that does not set one.
    pub default_deadline: Duration,
    /// Maximum deadline that a request may set.
    pub max_deadline: Duration,
    /// Shard coverage that an answer requires.
    pub coverage: Coverage,
    /// Hedging of calls to slow shards.
    pub hedge: Hedge,
    /// Minimum share of the service's capacity that each rank gets under
    /// overload, from 0 to 1.
    pub floor_share: ByRank<f64>,
    /// Retention time of claims on idempotency keys.
    pub claim_retention: Duration,
    /// How claims on idempotency keys are written.
    pub claim_write_mode: ClaimWriteMode,
}

/// How a version of a route writes claims on idempotency keys.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimWriteMode {
    /// Each claim is written to its own key.
    Single,
    /// Claims are batched into shared writes to the claim log.
    Batched,
}

/// Where the claims of a route are stored, considering all of its versions.
///
/// All versions of a route share its claims. While versions in force use
/// different write modes, a request must acquire its claim in both places.
/// Otherwise a host or a retry that uses only one of them could execute the
/// request a second time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimLocations {
    /// One key per claim.
    Keys,
    /// One key per claim, and the claim log.
    KeysAndLog,
    /// The claim log.
    Log,
}

impl ClaimLocations {
    /// Returns the places that the write modes of a route's versions require.
    pub(crate) fn of(modes: impl Iterator<Item = ClaimWriteMode>) -> Self {
        let mut has_single = false;
        let mut has_batched = false;
        for mode in modes {
            has_single |= mode == ClaimWriteMode::Single;
            has_batched |= mode == ClaimWriteMode::Batched;
        }
        match (has_single, has_batched) {
            (_, false) => Self::Keys,
            (true, true) => Self::KeysAndLog,
            (false, true) => Self::Log,
        }
    }

    /// Returns whether each claim has its own key.
    pub fn uses_keys(self) -> bool {
        self != Self::Log
    }

    /// Returns whether claims are written to the claim log.
    pub fn uses_log(self) -> bool {
        self != Self::Keys
    }
}

/// Shard coverage that the answers of a route require.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Coverage {
    /// Minimum share of shards that an answer must cover, from 0 to 1.
    pub min_share: f64,
    /// What to do while shards are missing.
    pub when_short: IncompletePolicy,
}

/// What a query does while shards are missing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IncompletePolicy {
    /// Wait for every shard until the deadline.
    Wait,
    /// Answer as soon as the minimum share is covered and this time has passed.
    AnswerAfter(Duration),
}

/// Hedging of calls to slow shards.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hedge {
    /// Quantile of recent latency after which a hedge call is sent; 0 disables hedging.
    pub quantile: f64,
    /// Maximum share of upstream calls that may be hedges, from 0 to 1.
    pub budget_share: f64,
}

impl TryFrom<RawRecord> for Route {
    type Error = Error;

    fn try_from(raw: RawRecord) -> Result<Self> {
        check_name("name", &raw.name)?;
        let body = raw
            .route
            .ok_or_else(|| invalid_field("route", "the record is not a route"))?;
        check_name("route.service", &body.service)?;
        check_range(
            "route.max_deadline_ms",
            body.max_deadline_ms,
            1,
            MAX_DEADLINE_MS,
        )?;
        check_range(
            "route.default_deadline_ms",
            body.default_deadline_ms,
            1,
            body.max_deadline_ms,
        )?;
        check_range(
            "route.claim_retention_hours",
            body.claim_retention_hours,
            1,
            MAX_RETENTION_HOURS,
        )?;
        Ok(Self {
            name: raw.name,
            version: raw.version,
            service: body.service,
            repeatable: body.repeatable,
            default_deadline: Duration::from_millis(body.default_deadline_ms),
            max_deadline: Duration::from_millis(body.max_deadline_ms),
            coverage: Coverage::try_from(body.coverage)?,
            hedge: Hedge::try_from(body.hedge)?,
            floor_share: validate_floors(&body.floors)?,
            claim_retention: Duration::from_secs(body.claim_retention_hours * 3_600),
            claim_write_mode: parse_claim_write_mode(&body.claims)?,
        })
    }
}

impl TryFrom<RawCoverage> for Coverage {
    type Error = Error;

    fn try_from(raw: RawCoverage) -> Result<Self> {
        check_share("route.coverage.min_share", raw.min_share)?;
        let when_short = match raw.when_short.as_str() {
            "wait" => IncompletePolicy::Wait,
            "early" => IncompletePolicy::AnswerAfter(Duration::from_millis(raw.early_after_ms)),
            other => {
                return Err(invalid_field(
                    "route.coverage.when_short",
                    format!("unknown value '{other}', expected wait or early"),
                ))
            }
        };
        Ok(Self {
            min_share: raw.min_share,
            when_short,
        })
    }
}

impl TryFrom<RawHedge> for Hedge {
    type Error = Error;

    fn try_from(raw: RawHedge) -> Result<Self> {
        check_share("route.hedge.quantile", raw.quantile)?;
        check_share("route.hedge.budget_share", raw.budget_share)?;
        Ok(Self {
            quantile: raw.quantile,
            budget_share: raw.budget_share,
        })
    }
}

fn parse_claim_write_mode(claims: &str) -> Result<ClaimWriteMode> {
    match claims {
        "single" => Ok(ClaimWriteMode::Single),
        "batched" => Ok(ClaimWriteMode::Batched),
        other => Err(invalid_field(
            "route.claims",
            format!("unknown value '{other}', expected single or batched"),
        )),
    }
}

fn validate_floors(raw: &RawFloors) -> Result<ByRank<f64>> {
    let floors = ByRank::from_fn(|rank| match rank {
        Rank::Urgent => raw.urgent,
        Rank::Routine => raw.routine,
        Rank::Background => raw.background,
    });
    let mut total_share = 0.0;
    for (rank, share) in floors.iter() {
        check_share(&format!("route.floors.{}", rank.as_str()), *share)?;
        total_share += share;
    }
    if total_share > 1.0 {
        return Err(invalid_field(
            "route.floors",
            format!("the sum is {total_share}, expected at most 1"),
        ));
    }
    Ok(floors)
}

/// Checks the name of a record, zone or region in the field at `path`.
///
/// # Errors
///
/// Returns [`Kind::BadRecord`](kind::Kind::BadRecord) with the path if the name is invalid.
pub fn check_name(path: &str, name: &str) -> Result<()> {
    let is_allowed_char =
        |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '.';
    let length = name.chars().count();
    if length == 0 || length > MAX_NAME_CHARS || !name.chars().all(is_allowed_char) {
        return Err(invalid_field(
            path,
            format!(
                "'{name}' is not a name; expected 1 to {MAX_NAME_CHARS} characters out of a-z, 0-9, '-' and '.'"
            ),
        ));
    }
    Ok(())
}

pub(crate) fn check_range(path: &str, value: u64, min: u64, max: u64) -> Result<()> {
    if value < min || value > max {
        return Err(invalid_field(
            path,
            format!("{value} is out of range, expected {min} to {max}"),
        ));
    }
    Ok(())
}

fn check_share(path: &str, share: f64) -> Result<()> {
    if !(0.0..=1.0).contains(&share) {
        return Err(invalid_field(
            path,
            format!("{share} is out of range, expected 0 to 1"),
        ));
    }
    Ok(())
}
