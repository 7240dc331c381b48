//! Settings of a host, checked once at the start.

use {
    anyhow::{ensure, Context, Error, Result},
    fleet::Member,
    record::{RegionId, ZoneId},
    replica::Place,
    scatter::Allowance,
    std::{collections::HashMap, net::SocketAddr, time::Duration},
};

/// Time that the balancer needs to notice that a host leaves: it asks every
/// second and takes out a host that misses twice.
const BALANCER_LAG: Duration = Duration::from_millis(2_500);
/// Part of the time for a shutdown that work in flight may use.
const DRAIN_SHARE: f64 = 0.85;

/// Settings as an adapter reads them, before their checks.
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
    /// Address at which the balancer asks whether the host takes work.
    pub ready_addr: String,
    /// Address for peers.
    pub peer_addr: String,
    /// Addresses for peers of a few hosts, which may be gone.
    pub seeds: Vec<String>,
    /// Address of the store.
    pub store_addr: String,
    /// Port for metrics beside the address for the balancer, if any.
    pub metrics_port: Option<u16>,
    /// Extra calls that a service bears for each request, from 0 to 1.
    pub retry_ratio: f64,
    /// Further extra calls that a service bears in any window.
    pub retry_slack: f64,
    /// Time from the request to stop to the end of the process, in milliseconds.
    pub shutdown_ms: u64,
    /// Share of a core that the host has.
    pub cpu_share: f64,
}

/// Checked settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The host as its peers know it.
    pub member: Member,
    /// Where the host stands.
    pub place: Place,
    /// Address for callers.
    pub caller_addr: SocketAddr,
    /// Address at which the balancer asks whether the host takes work.
    pub ready_addr: SocketAddr,
    /// Addresses for peers of a few hosts, which may be gone.
    pub seeds: Vec<SocketAddr>,
    /// Address of the store.
    pub store_addr: SocketAddr,
    /// Further address for metrics, if any.
    pub metrics_addr: Option<SocketAddr>,
    /// Extra calls that all hosts together may make.
    pub allowance: Allowance,
    /// Share of a core that the host has, in thousandths.
    pub cpu_millis: u32,
    /// Time for which a leaving host still takes work.
    pub balancer_lag: Duration,
    /// Time from the request to stop until work in flight is given up.
    pub max_drain: Duration,
}

impl TryFrom<RawSettings> for Settings {
    type Error = Error;

    fn try_from(raw: RawSettings) -> Result<Self> {
        ensure!(!raw.host_id.is_empty(), "the name of the host is empty");
        ensure!(!raw.zone.is_empty(), "the availability zone is empty");
        ensure!(
            (0.0..=1.0).contains(&raw.retry_ratio),
            "the retry ratio {} is not from 0 to 1",
            raw.retry_ratio
        );
        ensure!(
            raw.retry_slack >= 0.0 && raw.retry_slack.is_finite(),
            "the retry slack {} is not a number from 0 up",
            raw.retry_slack
        );
        ensure!(raw.shutdown_ms > 0, "the time for a shutdown is 0 ms");
        ensure!(
            raw.cpu_share > 0.0 && raw.cpu_share.is_finite(),
            "the share of a core, {}, is not a number above 0",
            raw.cpu_share
        );
        let shutdown = Duration::from_millis(raw.shutdown_ms);
        let max_drain = shutdown.mul_f64(DRAIN_SHARE);
        let region = raw.regions.get(&raw.zone).cloned();
        let region = region.with_context(|| format!("the zone {} has no region", raw.zone))?;
        let ready_addr = addr("address for the balancer", &raw.ready_addr)?;
        let metrics_addr = raw
            .metrics_port
            .map(|port| SocketAddr::new(ready_addr.ip(), port));
        Ok(Self {
            metrics_addr,
            member: Member {
                id: raw.host_id,
                peer_addr: addr("address for peers", &raw.peer_addr)?,
                region,
                zone: raw.zone.clone(),
            },
            place: Place {
                zone: raw.zone,
                regions: raw
                    .regions
                    .into_iter()
                    .collect::<HashMap<ZoneId, RegionId>>(),
            },
            caller_addr: addr("address for callers", &raw.caller_addr)?,
            ready_addr,
            seeds: raw
                .seeds
                .iter()
                .map(|seed| addr("address of a seed", seed))
                .collect::<Result<_>>()?,
            store_addr: addr("address of the store", &raw.store_addr)?,
            allowance: Allowance {
                ratio: raw.retry_ratio,
                slack: raw.retry_slack,
            },
            cpu_millis: (raw.cpu_share * 1_000.0) as u32,
            balancer_lag: BALANCER_LAG.min(max_drain / 2),
            max_drain,
        })
    }
}

impl Settings {
    /// Returns whether a running host can take `newer`: all but the bound of
    /// extra calls is set up at the start.
    pub(crate) fn differs_only_in_allowance(&self, newer: &Self) -> bool {
        let with_own = Self {
            allowance: self.allowance,
            ..newer.clone()
        };
        *self == with_own
    }
}

fn addr(name: &str, text: &str) -> Result<SocketAddr> {
    text.parse()
        .with_context(|| format!("the {name}, '{text}', is not an IP address with a port"))
}
