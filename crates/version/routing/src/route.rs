//! Checked routes.

use {
    crate::{RawRoute, RawTarget},
    kind::{Error, Kind, Result},
    std::{collections::HashSet, sync::Arc, time::Duration},
};

/// Name of a service, shared by all that speak of it.
pub type ServiceName = Arc<str>;

/// A checked route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: Arc<str>,
    /// Host name, in lower case.
    pub hostname: String,
    /// Begin of the paths that belong to the route.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub is_repeatable: bool,
    /// Longest time for which a request is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is of full use.
    pub target_latency: Duration,
    /// Rank; 0 goes first.
    pub priority: u32,
    /// Most servers of a service that one request is sent to.
    pub max_attempts: usize,
    /// Where requests go.
    pub target: Target,
}

/// Where the requests of a route go.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// To one service.
    One(ServiceName),
    /// To one of several services, by weight.
    Split(Vec<Weighted>),
    /// To every one of several services.
    Shards(ShardSet),
}

/// A service with its share of the requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Weighted {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight beside those of the other services.
    pub weight: f64,
}

/// The shards of a route and what an answer keeps of them.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardSet {
    /// Names of the shards, each one once.
    pub services: Arc<[ServiceName]>,
    /// Number of greatest records that the answer keeps.
    pub keep_records: usize,
    /// Least share of shards that an answer covers, from 0 to 1.
    pub min_share: f64,
}

impl Route {
    /// Returns the services that requests of the route may go to.
    pub fn services(&self) -> Vec<&ServiceName> {
        match &self.target {
            Target::One(service) => vec![service],
            Target::Split(parts) => parts.iter().map(|part| &part.service).collect(),
            Target::Shards(set) => set.services.iter().collect(),
        }
    }
}

impl TryFrom<RawRoute> for Route {
    type Error = Error;

    fn try_from(raw: RawRoute) -> Result<Self> {
        let bad = |problem: String| Error::new(Kind::BadRecord, format!("{}: {problem}", raw.name));
        if raw.hostname.is_empty() {
            return Err(bad("the host name is empty".to_owned()));
        }
        if !raw.prefix.starts_with('/') || !raw.prefix.ends_with('/') {
            return Err(bad(format!("'{}' is not a path prefix", raw.prefix)));
        }
        if raw.timeout_ms == 0 || raw.target_latency_ms == 0 || raw.max_attempts == 0 {
            return Err(bad("timeout, target and attempts are above 0".to_owned()));
        }
        if matches!(raw.target, RawTarget::Shards { .. }) && !raw.is_repeatable {
            return Err(bad("requests to every shard are repeatable".to_owned()));
        }
        let target = Target::try_from(raw.target.clone()).map_err(bad)?;
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
        })
    }
}

impl TryFrom<RawTarget> for Target {
    type Error = String;

    fn try_from(raw: RawTarget) -> Result<Self, String> {
        match raw {
            RawTarget::One(service) => Ok(Self::One(service.as_str().into())),
            RawTarget::Split(parts) => checked_split(&parts),
            RawTarget::Shards {
                services,
                keep_records,
                min_share,
            } => checked_shards(&services, keep_records, min_share),
        }
    }
}

fn checked_split(parts: &[(String, f64)]) -> Result<Target, String> {
    let is_weight = |weight: f64| weight.is_finite() && weight >= 0.0;
    if !parts.iter().all(|(_, weight)| is_weight(*weight)) {
        return Err("a weight is not a number from 0 up".to_owned());
    }
    if parts.iter().map(|(_, weight)| weight).sum::<f64>() <= 0.0 {
        return Err("the weights add up to nothing".to_owned());
    }
    let weighted = parts.iter().map(|(service, weight)| Weighted {
        service: service.as_str().into(),
        weight: *weight,
    });
    Ok(Target::Split(weighted.collect()))
}

fn checked_shards(
    services: &[String],
    keep_records: u64,
    min_share: f64,
) -> Result<Target, String> {
    let distinct: HashSet<&String> = services.iter().collect();
    if services.is_empty() || distinct.len() < services.len() {
        return Err("the shards are empty or named twice".to_owned());
    }
    if !(0.0..=1.0).contains(&min_share) {
        return Err(format!("the least share {min_share} is not from 0 to 1"));
    }
    Ok(Target::Shards(ShardSet {
        services: services.iter().map(|name| name.as_str().into()).collect(),
        keep_records: usize::try_from(keep_records).unwrap_or(usize::MAX),
        min_share,
    }))
}
