//! Checked route records.

use {
    crate::{
        bad_field,
        limits::{MAX_DEADLINE_MS, MAX_NAME_CHARS, MAX_RETENTION_HOURS},
        ByRank, Rank, RawCoverage, RawFloors, RawHedge, RawRecord, RecordVersion,
    },
    kind::{Error, Result},
    std::time::Duration,
};

/// A checked route: how callers reach a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name by which callers ask for the route.
    pub name: String,
    /// Version of the record.
    pub version: RecordVersion,
    /// Name of the service.
    pub service: String,
    /// Whether a request may be executed more than once.
    pub repeatable: bool,
    /// Deadline of a request that names none.
    pub default_deadline: Duration,
    /// Longest deadline that a request may name.
    pub max_deadline: Duration,
    /// Demands on coverage.
    pub coverage: Coverage,
    /// Hedging of slow shards.
    pub hedge: Hedge,
    /// Share of the service that each rank keeps in a flood, from 0 to 1.
    pub floor_share: ByRank<f64>,
    /// Time for which claims of idempotency keys are kept.
    pub claim_retention: Duration,
    /// How claims of idempotency keys are written.
    pub claim_writes: ClaimWrites,
}

/// How a version of a route writes claims of idempotency keys.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimWrites {
    /// Each claim is a key of its own.
    Single,
    /// Many claims share one write of the claim log.
    Batched,
}

/// Where the claims of a route stand, whichever of its versions is asked for.
///
/// Versions share the claims of their route. While they differ in how they
/// write claims, a request must win both ways, so that no host and no resend
/// that knows of one way only lets it run twice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimPlaces {
    /// A key for each claim.
    Keys,
    /// A key for each claim, and the claim log.
    KeysAndLog,
    /// The claim log.
    Log,
}

impl ClaimPlaces {
    /// Returns the places for the versions of one route.
    pub(crate) fn of(versions: impl Iterator<Item = ClaimWrites>) -> Self {
        let mut has_single = false;
        let mut has_batched = false;
        for writes in versions {
            has_single |= writes == ClaimWrites::Single;
            has_batched |= writes == ClaimWrites::Batched;
        }
        match (has_single, has_batched) {
            (_, false) => Self::Keys,
            (true, true) => Self::KeysAndLog,
            (false, true) => Self::Log,
        }
    }

    /// Returns whether each claim has a key of its own.
    pub fn has_keys(self) -> bool {
        self != Self::Log
    }

    /// Returns whether claims stand in the claim log.
    pub fn has_log(self) -> bool {
        self != Self::Keys
    }
}

/// Demands of a route on coverage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Coverage {
    /// Least share of shards that an answer must cover, from 0 to 1.
    pub min_share: f64,
    /// What to do while shards are missing.
    pub when_short: WhenShort,
}

/// What a query does while shards are missing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WhenShort {
    /// Wait for every shard until the deadline.
    Wait,
    /// Answer once the least share is covered and this time has passed.
    EarlyAfter(Duration),
}

/// Hedging of slow shards.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hedge {
    /// Quantile of recent latency after which a second call is made; 0 turns hedging off.
    pub quantile: f64,
    /// Largest share of leaf calls that may be hedges, from 0 to 1.
    pub budget_share: f64,
}

impl TryFrom<RawRecord> for Route {
    type Error = Error;

    fn try_from(raw: RawRecord) -> Result<Self> {
        check_name("name", &raw.name)?;
        let body = raw
            .route
            .ok_or_else(|| bad_field("route", "the record is not a route"))?;
        check_name("route.service", &body.service)?;
        check_between(
            "route.max_deadline_ms",
            body.max_deadline_ms,
            1,
            MAX_DEADLINE_MS,
        )?;
        check_between(
            "route.default_deadline_ms",
            body.default_deadline_ms,
            1,
            body.max_deadline_ms,
        )?;
        check_between(
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
            floor_share: checked_floors(&body.floors)?,
            claim_retention: Duration::from_secs(body.claim_retention_hours * 3_600),
            claim_writes: checked_writes(&body.claims)?,
        })
    }
}

impl TryFrom<RawCoverage> for Coverage {
    type Error = Error;

    fn try_from(raw: RawCoverage) -> Result<Self> {
        check_share("route.coverage.min_share", raw.min_share)?;
        let when_short = match raw.when_short.as_str() {
            "wait" => WhenShort::Wait,
            "early" => WhenShort::EarlyAfter(Duration::from_millis(raw.early_after_ms)),
            other => {
                return Err(bad_field(
                    "route.coverage.when_short",
                    format!("'{other}' is none of wait, early"),
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

fn checked_writes(claims: &str) -> Result<ClaimWrites> {
    match claims {
        "single" => Ok(ClaimWrites::Single),
        "batched" => Ok(ClaimWrites::Batched),
        other => Err(bad_field(
            "route.claims",
            format!("'{other}' is none of single, batched"),
        )),
    }
}

fn checked_floors(raw: &RawFloors) -> Result<ByRank<f64>> {
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
        return Err(bad_field(
            "route.floors",
            format!("the sum is {total_share}, allowed is at most 1"),
        ));
    }
    Ok(floors)
}

/// Checks the name of a record, a zone or a region that stands at `path`.
///
/// # Errors
///
/// Returns [`Kind::BadRecord`](kind::Kind::BadRecord) with the path.
pub fn check_name(path: &str, name: &str) -> Result<()> {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '.';
    let length = name.chars().count();
    if length == 0 || length > MAX_NAME_CHARS || !name.chars().all(allowed) {
        return Err(bad_field(
            path,
            format!(
                "'{name}' is not a name; allowed are 1 to {MAX_NAME_CHARS} of a-z, 0-9, '-' and '.'"
            ),
        ));
    }
    Ok(())
}

pub(crate) fn check_between(path: &str, value: u64, least: u64, most: u64) -> Result<()> {
    if value < least || value > most {
        return Err(bad_field(
            path,
            format!("{value} is out of range, allowed is {least} to {most}"),
        ));
    }
    Ok(())
}

fn check_share(path: &str, share: f64) -> Result<()> {
    if !(0.0..=1.0).contains(&share) {
        return Err(bad_field(
            path,
            format!("{share} is out of range, allowed is 0 to 1"),
        ));
    }
    Ok(())
}
