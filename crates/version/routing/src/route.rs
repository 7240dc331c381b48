//! Validated routes.

use {
    crate::{AllowedRegions, RawRoute, RawTarget},
    kind::{Error, Kind, Result},
    std::{collections::HashSet, sync::Arc, time::Duration},
};

/// Name of a service, reference-counted so that clones are cheap.
pub type ServiceName = Arc<str>;

/// A validated route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host name, in lower case.
    pub hostname: String,
    /// Prefix of the paths that belong to the route.
    pub prefix: String,
    /// Whether a request may be executed more than once.
    pub is_repeatable: bool,
    /// Time limit for answering a request.
    pub timeout: Duration,
    /// Latency within which an answer is fully useful.
    pub target_latency: Duration,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Maximum number of servers of a service that one request is sent to.
    pub max_attempts: usize,
    /// Destination of the requests.
    pub target: Target,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Regions in which requests may be served.
    pub allowed_regions: AllowedRegions,
}

/// Destination of the requests of a route.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// One service.
    Service(ServiceName),
    /// One of several services, chosen by weight.
    Split(Vec<WeightedService>),
    /// All of several services, the shards.
    Shards(ShardSet),
}

/// A service and its weight in a split.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight relative to those of the other services.
    pub weight: f64,
}

/// The shards of a route and how their answers are merged.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardSet {
    /// Distinct names of the shards.
    pub services: Arc<[ServiceName]>,
    /// Maximum number of records in the merged answer, which keeps the greatest.
    pub max_records: usize,
    /// Minimum share of the shards that an answer must cover, from 0 to 1.
    pub min_share: f64,
}

impl ShardSet {
    /// Returns whether an answer that covers that many shards covers the minimum share.
    pub fn is_covered_by(&self, covered: usize) -> bool {
        // The tolerance absorbs rounding errors, so that 0.89 of 100 shards is 89.
        covered > 0 && covered as f64 + 1e-9 >= self.min_share * self.services.len() as f64
    }
}

impl Route {
    /// Returns the services that requests of the route may go to.
    pub fn services(&self) -> Vec<&ServiceName> {
        match &self.target {
            Target::Service(service) => vec![service],
            Target::Split(parts) => parts.iter().map(|part| &part.service).collect(),
            Target::Shards(set) => set.services.iter().collect(),
        }
    }
}

impl TryFrom<RawRoute> for Route {
    type Error = Error;

    fn try_from(raw: RawRoute) -> Result<Self> {
        let invalid =
            |problem: String| Error::new(Kind::BadRecord, format!("{}: {problem}", raw.name));
        if raw.hostname.is_empty() {
            return Err(invalid("the host name is empty".to_owned()));
        }
        if !raw.prefix.starts_with('/') || !raw.prefix.ends_with('/') {
            return Err(invalid(format!(
                "the prefix '{}' does not begin and end with '/'",
                raw.prefix
            )));
        }
        if raw.timeout_ms == 0 || raw.target_latency_ms == 0 || raw.max_attempts == 0 {
            return Err(invalid(
                "timeout, target latency and attempts must be above 0".to_owned(),
            ));
        }
        if matches!(raw.target, RawTarget::Shards { .. }) && !raw.is_repeatable {
            return Err(invalid("requests to shards must be repeatable".to_owned()));
        }
        let target = Target::try_from(raw.target.clone()).map_err(invalid)?;
        Ok(Self {
            name: raw.name.as_str().into(),
            hostname: raw.hostname.to_ascii_lowercase(),
            prefix: raw.prefix,
            is_repeatable: raw.is_repeatable,
            timeout: Duration::from_millis(raw.timeout_ms),
            target_latency: Duration::from_millis(raw.target_latency_ms),
            priority: raw.priority,
            max_attempts: raw.max_attempts as usize,
            target,
            is_public: raw.is_public,
            allowed_regions: raw.allowed_regions.into(),
        })
    }
}

impl TryFrom<RawTarget> for Target {
    type Error = String;

    fn try_from(raw: RawTarget) -> Result<Self, String> {
        match raw {
            RawTarget::Service(service) => Ok(Self::Service(service.as_str().into())),
            RawTarget::Split(parts) => validate_split(&parts),
            RawTarget::Shards {
                services,
                max_records,
                min_share,
            } => validate_shards(&services, max_records, min_share),
        }
    }
}

fn validate_split(parts: &[(String, f64)]) -> Result<Target, String> {
    let is_valid = |weight: f64| weight.is_finite() && weight >= 0.0;
    if !parts.iter().all(|(_, weight)| is_valid(*weight)) {
        return Err("a weight is negative or not finite".to_owned());
    }
    if parts.iter().map(|(_, weight)| weight).sum::<f64>() <= 0.0 {
        return Err("the weights sum to 0".to_owned());
    }
    let weighted = parts.iter().map(|(service, weight)| WeightedService {
        service: service.as_str().into(),
        weight: *weight,
    });
    Ok(Target::Split(weighted.collect()))
}

fn validate_shards(
    services: &[String],
    max_records: u64,
    min_share: f64,
) -> Result<Target, String> {
    let distinct: HashSet<&String> = services.iter().collect();
    if services.is_empty() || distinct.len() < services.len() {
        return Err("the list of shards is empty or has duplicates".to_owned());
    }
    if !(0.0..=1.0).contains(&min_share) {
        return Err(format!(
            "the minimum share {min_share} is not between 0 and 1"
        ));
    }
    Ok(Target::Shards(ShardSet {
        services: services.iter().map(|name| name.as_str().into()).collect(),
        max_records: usize::try_from(max_records).unwrap_or(usize::MAX),
        min_share,
    }))
}
