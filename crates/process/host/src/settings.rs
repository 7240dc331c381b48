//! Settings of a host, checked at start.

use {
    anyhow::{bail, Context, Error, Result},
    fleet::Member,
    std::{net::SocketAddr, time::Duration},
};

/// Longest time that the balancer may need to notice a host that leaves.
const MAX_BALANCER_LAG_MS: u64 = 60_000;
/// Longest time that a drain may be given.
const MAX_DRAIN_MS: u64 = 3_600_000;
/// Least number of bytes of an administration token.
const MIN_TOKEN_BYTES: usize = 8;

/// Settings as they come from flags and the environment.
#[derive(Clone, Debug)]
pub struct RawSettings {
    /// Name of the host.
    pub host_id: String,
    /// Region of the host.
    pub region: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Address for callers.
    pub entry_addr: String,
    /// Address for peers.
    pub peer_addr: String,
    /// Address for operators.
    pub admin_addr: String,
    /// Address of the platform.
    pub platform_addr: String,
    /// Bearer token of the administration API.
    pub admin_token: String,
    /// Time that the balancer needs to notice a host that leaves, in milliseconds.
    pub balancer_lag_ms: u64,
    /// Largest body of a query, in bytes.
    pub max_body_bytes: usize,
    /// Number of relays of a service that names none; 0 means every host.
    pub default_relays: u32,
    /// Addresses of peers to begin with, beside those of the host list.
    pub seed_peers: Vec<String>,
    /// Time after which a drain gives up what is in flight, in milliseconds.
    pub max_drain_ms: u64,
}

/// Checked settings of a host.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This host as its peers see it.
    pub member: Member,
    /// Address for callers.
    pub entry_addr: SocketAddr,
    /// Address for operators.
    pub admin_addr: SocketAddr,
    /// Address of the platform.
    pub platform_addr: SocketAddr,
    /// Bearer token of the administration API.
    pub admin_token: String,
    /// Time that the balancer needs to notice a host that leaves.
    pub balancer_lag: Duration,
    /// Largest body of a query, in bytes.
    pub max_body_bytes: usize,
    /// Number of relays of a service that names none; `None` means every host.
    pub default_relays: Option<usize>,
    /// Addresses of peers to begin with, beside those of the host list.
    pub seed_peers: Vec<SocketAddr>,
    /// Time after which a drain gives up what is in flight.
    pub max_drain: Duration,
}

impl TryFrom<RawSettings> for Settings {
    type Error = Error;

    fn try_from(raw: RawSettings) -> Result<Self> {
        if raw.balancer_lag_ms > MAX_BALANCER_LAG_MS {
            bail!(
                "--balancer-lag-ms: {} is out of range, allowed is 0 to {MAX_BALANCER_LAG_MS}",
                raw.balancer_lag_ms
            );
        }
        if raw.max_drain_ms == 0 || raw.max_drain_ms > MAX_DRAIN_MS {
            bail!(
                "--max-drain-ms: {} is out of range, allowed is 1 to {MAX_DRAIN_MS}",
                raw.max_drain_ms
            );
        }
        if raw.max_body_bytes == 0 {
            bail!("--max-body-bytes: 0 is out of range, allowed is 1 and more");
        }
        if raw.admin_token.len() < MIN_TOKEN_BYTES {
            bail!("--admin-token: too short, allowed are {MIN_TOKEN_BYTES} characters and more");
        }
        Ok(Self {
            member: Member {
                id: checked_name("--host-id", raw.host_id)?,
                peer_addr: checked_addr("--peer-addr", &raw.peer_addr)?,
                region: checked_name("--region", raw.region)?,
                zone: checked_name("--zone", raw.zone)?,
            },
            entry_addr: checked_addr("--entry-addr", &raw.entry_addr)?,
            admin_addr: checked_addr("--admin-addr", &raw.admin_addr)?,
            platform_addr: checked_addr("--platform-addr", &raw.platform_addr)?,
            admin_token: raw.admin_token,
            balancer_lag: Duration::from_millis(raw.balancer_lag_ms),
            max_body_bytes: raw.max_body_bytes,
            default_relays: Some(raw.default_relays as usize).filter(|relays| *relays > 0),
            seed_peers: raw
                .seed_peers
                .iter()
                .map(|seed| checked_addr("--seed-peers", seed))
                .collect::<Result<_>>()?,
            max_drain: Duration::from_millis(raw.max_drain_ms),
        })
    }
}

fn checked_addr(flag: &str, text: &str) -> Result<SocketAddr> {
    text.parse().with_context(|| {
        format!(
            "{flag}: '{text}' is not allowed, an IP number with a port is, such as 127.0.0.1:7000"
        )
    })
}

fn checked_name(flag: &str, text: String) -> Result<String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '.';
    if text.is_empty() || !text.chars().all(is_allowed) {
        bail!("{flag}: '{text}' is not allowed, letters, digits, '-' and '.' are");
    }
    Ok(text)
}
