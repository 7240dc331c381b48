//! Settings of a host and their validation.

use {
    anyhow::{ensure, Context, Error, Result},
    fleet::{ChangeBudget, Member},
    quota::{Limits, RawLimits},
    record::{RegionId, ZoneId},
    replica::{Locality, WarmUpBound},
    scatter::Allowance,
    std::{collections::HashMap, net::SocketAddr, time::Duration},
};

/// Time that the balancer needs to notice that a host is leaving. It checks every
/// second and removes a host after two failed checks.
const BALANCER_LAG: Duration = Duration::from_millis(2_500);
/// Share of the time for a shutdown that requests in flight may use.
const DRAIN_SHARE: f64 = 0.85;
/// Time for which a leaving server serves if the settings name none.
const DEFAULT_SERVER_DRAIN: Duration = Duration::from_secs(3);
/// Time within which a configuration is in force if the settings name none.
const DEFAULT_CONFIG_APPLY: Duration = Duration::from_secs(3);

/// Time within which hosts stop sending to an evacuated zone if the settings name none.
const DEFAULT_EVACUATE: Duration = Duration::from_secs(5);
/// Allowed multiple of the rate of a cold server if the settings name none.
const DEFAULT_WARM_UP_OVERAGE: f64 = 1.5;
/// Requests that a cold server may get beyond that if the settings name none.
const DEFAULT_WARM_UP_SLACK: f64 = 5.0;
/// Window within which a service limits extra calls if the settings name none.
const DEFAULT_RETRY_WINDOW: Duration = Duration::from_secs(10);

/// Time within which a removed key is revoked if the settings name none.
const DEFAULT_REVOCATION: Duration = Duration::from_secs(5);

/// Settings as read by an adapter, not yet validated.
#[derive(Clone, Debug, Default)]
pub struct RawSettings {
    /// Name of the host.
    pub host_id: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Region of every zone.
    pub regions: HashMap<String, String>,
    /// Address for callers.
    pub caller_addr: String,
    /// Address for health checks of the balancer.
    pub ready_addr: String,
    /// Address for peers.
    pub peer_addr: String,
    /// Peer addresses of a few other hosts, which may no longer exist.
    pub seeds: Vec<String>,
    /// Address of the store.
    pub store_addr: String,
    /// Additional port for metrics, on the IP address of `ready_addr`.
    pub metrics_port: Option<u16>,
    /// Extra calls, such as retries, that a service allows per request, from 0 to 1.
    pub retry_ratio: f64,
    /// Extra calls that a service allows in any window beyond that ratio.
    pub retry_slack: f64,
    /// Length of that window, in milliseconds; `None` if it is not known.
    pub retry_window_ms: Option<u64>,
    /// Time from the stop signal until the process has to be gone, in milliseconds.
    pub shutdown_timeout_ms: u64,
    /// Time for which a leaving server serves after the store has recorded that it
    /// leaves, in milliseconds; `None` if it is not known.
    pub server_drain_ms: Option<u64>,
    /// Time within which a configuration is in force on all hosts, in milliseconds;
    /// `None` if it is not known.
    pub config_apply_ms: Option<u64>,
    /// Time within which hosts stop sending to the servers of an evacuated zone, in
    /// milliseconds; `None` if it is not known.
    pub evacuate_ms: Option<u64>,
    /// Allowed multiple of the rate of a cold server in any second; `None` if it is
    /// not known.
    pub warm_up_overage: Option<f64>,
    /// Requests that a cold server may get beyond that; `None` if it is not known.
    pub warm_up_slack: Option<f64>,
    /// Settings for the quotas of workspaces; `None` if there are no quotas.
    pub quota_limits: Option<RawLimits>,
    /// Whether requests with keys are rejected while the host cannot confirm that its
    /// configuration is current.
    pub strict_revocation: bool,
    /// Time after which a removed key must not be used any longer, in milliseconds;
    /// `None` if it is not known.
    pub revoke_ms: Option<u64>,
    /// Share of a core that is available to the host.
    pub cpu_share: f64,
    /// Whether all hosts start together for the first time.
    pub is_new_fleet: bool,
}

/// Validated settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Identity of the host towards its peers.
    pub member: Member,
    /// Zone of the host, and the region of every zone.
    pub locality: Locality,
    /// Address for callers.
    pub caller_addr: SocketAddr,
    /// Address for health checks of the balancer.
    pub ready_addr: SocketAddr,
    /// Peer addresses of a few other hosts, which may no longer exist.
    pub seeds: Vec<SocketAddr>,
    /// Address of the store.
    pub store_addr: SocketAddr,
    /// Additional address for metrics.
    pub metrics_addr: Option<SocketAddr>,
    /// Limit on extra calls, for all hosts together.
    pub allowance: Allowance,
    /// Time for which a leaving server serves after the store has recorded that it leaves.
    pub server_drain: Duration,
    /// Time within which hosts obey a change of the store, as they find it out.
    pub change_budget: ChangeBudget,
    /// Time within which hosts learn of each other. A host that has been listed or
    /// removed for less time may still be unknown, or known, to others.
    pub membership_lag: Duration,
    /// Bound on the calls to cold servers.
    pub warm_up_bound: WarmUpBound,
    /// Limits for the quotas of workspaces, `None` if there are no quotas.
    pub quota_limits: Option<Limits>,
    /// Largest age of the configuration with which requests with keys are accepted,
    /// `None` if any is.
    pub max_key_age: Option<Duration>,
    /// Share of a core that is available to the host, in thousandths.
    pub cpu_millis: u32,
    /// Whether all hosts start together for the first time.
    pub is_new_fleet: bool,
    /// Time for which a leaving host still takes new requests.
    pub balancer_lag: Duration,
    /// Time from the stop signal until requests in flight are given up.
    pub max_drain: Duration,
}

impl TryFrom<RawSettings> for Settings {
    type Error = Error;

    fn try_from(raw: RawSettings) -> Result<Self> {
        ensure!(!raw.host_id.is_empty(), "the host id is empty");
        ensure!(!raw.zone.is_empty(), "the availability zone is empty");
        ensure!(
            (0.0..=1.0).contains(&raw.retry_ratio),
            "the retry ratio {} is not between 0 and 1",
            raw.retry_ratio
        );
        ensure!(
            raw.retry_slack >= 0.0 && raw.retry_slack.is_finite(),
            "the retry slack {} is not a finite number of at least 0",
            raw.retry_slack
        );
        ensure!(
            raw.shutdown_timeout_ms > 0,
            "the time for a shutdown is 0 ms"
        );
        ensure!(
            raw.cpu_share > 0.0 && raw.cpu_share.is_finite(),
            "the share of a core, {}, is not a finite number above 0",
            raw.cpu_share
        );
        let server_drain = raw
            .server_drain_ms
            .map_or(DEFAULT_SERVER_DRAIN, Duration::from_millis);
        let config_apply = raw
            .config_apply_ms
            .map_or(DEFAULT_CONFIG_APPLY, Duration::from_millis);
        let evacuate = raw
            .evacuate_ms
            .map_or(DEFAULT_EVACUATE, Duration::from_millis);
        let change_time = server_drain.min(config_apply).min(evacuate);
        let warm_up_bound = WarmUpBound {
            overage: raw.warm_up_overage.unwrap_or(DEFAULT_WARM_UP_OVERAGE),
            slack: raw.warm_up_slack.unwrap_or(DEFAULT_WARM_UP_SLACK),
        };
        ensure!(
            warm_up_bound.overage > 0.0 && warm_up_bound.overage.is_finite(),
            "the overage of cold servers, {}, is not a finite number above 0",
            warm_up_bound.overage
        );
        ensure!(
            warm_up_bound.slack >= 0.0 && warm_up_bound.slack.is_finite(),
            "the slack of cold servers, {}, is not a finite number of at least 0",
            warm_up_bound.slack
        );
        let shutdown = Duration::from_millis(raw.shutdown_timeout_ms);
        let max_drain = shutdown.mul_f64(DRAIN_SHARE);
        let region = raw.regions.get(&raw.zone).cloned();
        let region = region.with_context(|| format!("the zone {} has no region", raw.zone))?;
        let ready_addr = parse_addr("address for the balancer", &raw.ready_addr)?;
        let metrics_addr = raw
            .metrics_port
            .map(|port| SocketAddr::new(ready_addr.ip(), port));
        Ok(Self {
            metrics_addr,
            member: Member {
                id: raw.host_id,
                peer_addr: parse_addr("address for peers", &raw.peer_addr)?,
                region,
                zone: raw.zone.clone(),
            },
            locality: Locality {
                zone: raw.zone,
                regions: raw
                    .regions
                    .into_iter()
                    .collect::<HashMap<ZoneId, RegionId>>(),
            },
            caller_addr: parse_addr("address for callers", &raw.caller_addr)?,
            ready_addr,
            seeds: raw
                .seeds
                .iter()
                .map(|seed| parse_addr("address of a seed", seed))
                .collect::<Result<_>>()?,
            store_addr: parse_addr("address of the store", &raw.store_addr)?,
            allowance: Allowance {
                ratio: raw.retry_ratio,
                slack: raw.retry_slack,
                window: raw
                    .retry_window_ms
                    .map_or(DEFAULT_RETRY_WINDOW, Duration::from_millis),
            },
            quota_limits: raw.quota_limits.map(Limits::try_from).transpose()?,
            max_key_age: raw.strict_revocation.then(|| {
                raw.revoke_ms
                    .map_or(DEFAULT_REVOCATION, Duration::from_millis)
            }),
            server_drain,
            change_budget: ChangeBudget::new(change_time),
            membership_lag: change_time,
            warm_up_bound,
            cpu_millis: (raw.cpu_share * 1_000.0) as u32,
            is_new_fleet: raw.is_new_fleet,
            balancer_lag: BALANCER_LAG.min(max_drain / 2),
            max_drain,
        })
    }
}

impl Settings {
    /// Returns whether a running host can apply `newer` in full. Everything but
    /// the limit on extra calls is set up at startup; whether the fleet is new
    /// matters only then.
    pub(crate) fn differs_only_in_allowance(&self, newer: &Self) -> bool {
        let with_own_allowance = Self {
            allowance: self.allowance,
            is_new_fleet: self.is_new_fleet,
            ..newer.clone()
        };
        *self == with_own_allowance
    }
}

/// Parses an address; `name` says in the error which one it is.
fn parse_addr(name: &str, text: &str) -> Result<SocketAddr> {
    text.parse()
        .with_context(|| format!("the {name}, '{text}', is not an IP address with a port"))
}
