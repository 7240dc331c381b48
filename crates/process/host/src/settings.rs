//! Settings of a host and their validation at startup.

use {
    anyhow::{bail, Context, Error, Result},
    fleet::Member,
    std::{net::SocketAddr, time::Duration},
};

/// Upper limit of `--balancer-lag-ms`.
const MAX_BALANCER_LAG_MS: u64 = 60_000;
/// Upper limit of `--max-drain-ms`.
const MAX_DRAIN_MS: u64 = 3_600_000;
/// Minimum length of the administration token, in bytes.
const MIN_TOKEN_BYTES: usize = 8;

/// Unvalidated settings from flags and environment variables.
#[derive(Clone, Debug)]
pub struct RawSettings {
    /// Unique identifier of the host.
    pub host_id: String,
    /// Region of the host.
    pub region: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Address to listen on for callers.
    pub entry_addr: String,
    /// Address to listen on for peers.
    pub peer_addr: String,
    /// Address to listen on for the administration API.
    pub admin_addr: String,
    /// Address of the platform.
    pub platform_addr: String,
    /// Bearer token of the administration API.
    pub admin_token: String,
    /// Time that the load balancer needs to notice that a host is leaving, in
    /// milliseconds.
    pub balancer_lag_ms: u64,
    /// Maximum size of a query body, in bytes.
    pub max_body_bytes: usize,
    /// Number of relays of a service whose record sets none; 0 means every host.
    pub default_relays: u32,
    /// Addresses of peers to contact in addition to those on the host list.
    pub seed_peers: Vec<String>,
    /// Time after which a drain fails the requests still in flight, in milliseconds.
    pub max_drain_ms: u64,
}

/// Validated settings of a host.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Identifier, peer address and location of this host.
    pub member: Member,
    /// Address to listen on for callers.
    pub entry_addr: SocketAddr,
    /// Address to listen on for the administration API.
    pub admin_addr: SocketAddr,
    /// Address of the platform.
    pub platform_addr: SocketAddr,
    /// Bearer token of the administration API.
    pub admin_token: String,
    /// Time that the load balancer needs to notice that a host is leaving.
    pub balancer_lag: Duration,
    /// Maximum size of a query body, in bytes.
    pub max_body_bytes: usize,
    /// Number of relays of a service whose record sets none; `None` means every
    /// host.
    pub default_relays: Option<usize>,
    /// Addresses of peers to contact in addition to those on the host list.
    pub seed_peers: Vec<SocketAddr>,
    /// Time after which a drain fails the requests still in flight.
    pub max_drain: Duration,
}

impl TryFrom<RawSettings> for Settings {
    type Error = Error;

    fn try_from(raw: RawSettings) -> Result<Self> {
        if raw.balancer_lag_ms > MAX_BALANCER_LAG_MS {
            bail!(
                "--balancer-lag-ms: {} is out of range (0 to {MAX_BALANCER_LAG_MS})",
                raw.balancer_lag_ms
            );
        }
        if raw.max_drain_ms == 0 || raw.max_drain_ms > MAX_DRAIN_MS {
            bail!(
                "--max-drain-ms: {} is out of range (1 to {MAX_DRAIN_MS})",
                raw.max_drain_ms
            );
        }
        if raw.max_body_bytes == 0 {
            bail!("--max-body-bytes: 0 is out of range (1 and more)");
        }
        if raw.admin_token.len() < MIN_TOKEN_BYTES {
            bail!("--admin-token: too short, at least {MIN_TOKEN_BYTES} characters are required");
        }
        Ok(Self {
            member: Member {
                id: validate_name("--host-id", raw.host_id)?,
                peer_addr: parse_addr("--peer-addr", &raw.peer_addr)?,
                region: validate_name("--region", raw.region)?,
                zone: validate_name("--zone", raw.zone)?,
            },
            entry_addr: parse_addr("--entry-addr", &raw.entry_addr)?,
            admin_addr: parse_addr("--admin-addr", &raw.admin_addr)?,
            platform_addr: parse_addr("--platform-addr", &raw.platform_addr)?,
            admin_token: raw.admin_token,
            balancer_lag: Duration::from_millis(raw.balancer_lag_ms),
            max_body_bytes: raw.max_body_bytes,
            default_relays: Some(raw.default_relays as usize).filter(|relays| *relays > 0),
            seed_peers: raw
                .seed_peers
                .iter()
                .map(|seed| parse_addr("--seed-peers", seed))
                .collect::<Result<_>>()?,
            max_drain: Duration::from_millis(raw.max_drain_ms),
        })
    }
}

fn parse_addr(flag: &str, text: &str) -> Result<SocketAddr> {
    text.parse().with_context(|| {
        format!("{flag}: '{text}' is not an IP number with a port, such as 127.0.0.1:7000")
    })
}

fn validate_name(flag: &str, text: String) -> Result<String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '.';
    if text.is_empty() || !text.chars().all(is_allowed) {
        bail!("{flag}: '{text}' is not a name of letters, digits, '-' and '.'");
    }
    Ok(text)
}
