//! Hosts in two regions, with a network between them that a test can partition.
//!
//! The platform is in the first region. All hosts of a region reach a host of
//! the other region through the same forwarder, because they send each other
//! its address.

use {
    crate::{
        process::{deployment::HostConfig, free_addr, Deployment, DeploymentConfig},
        region_network::{AddressTranslation, RegionNetwork, Traffic},
    },
    anyhow::Result,
    std::net::SocketAddr,
};

/// Number of regions.
const REGION_COUNT: usize = 2;

/// A test deployment in two regions.
pub struct Regions {
    /// The deployment; hosts with even numbers are in the first region.
    pub deployment: Deployment,
    /// The network between the regions.
    pub network: RegionNetwork,
}

impl Regions {
    /// Starts the hosts of `config`, alternating between the regions.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start.
    pub async fn start(config: DeploymentConfig) -> Result<Self> {
        let count = config.hosts;
        let mut deployment = Deployment::start(DeploymentConfig { hosts: 0, ..config }).await?;
        let network = RegionNetwork::default();
        let reachable_addrs = addrs_by_region(count)?;
        for (region, local_addrs) in reachable_addrs.iter().enumerate() {
            for host in (0..count).filter(|host| region_of(*host) != region) {
                let remote_addrs = &reachable_addrs[region_of(host)];
                let pairs = local_addrs
                    .iter()
                    .copied()
                    .zip(remote_addrs.iter().copied());
                let traffic = Traffic::Frames(AddressTranslation::new(pairs));
                network
                    .forward(local_addrs[host], remote_addrs[host], traffic)
                    .await?;
            }
        }
        let platform_addr = free_addr()?;
        let target_platform_addr = deployment.platform_addr;
        network
            .forward(platform_addr, target_platform_addr, Traffic::Bytes)
            .await?;
        for i in 0..count {
            let region = region_of(i);
            let reachable_addrs = &reachable_addrs[region];
            let seeds = (0..count).filter(|seed| *seed != i);
            let seeds: Vec<_> = seeds
                .map(|seed| reachable_addrs[seed].to_string())
                .collect();
            let host_config = HostConfig {
                id: &format!("host-{i}"),
                region: &format!("region-{region}"),
                zone: &format!("zone-{i}"),
                peer_addr: reachable_addrs[i],
                platform_addr: [target_platform_addr, platform_addr][region],
            };
            deployment.start_host(&host_config, &[format!("--seed-peers={}", seeds.join(","))])?;
        }
        for host in &deployment.hosts {
            deployment.wait_for(host.admin_addr, "/healthz").await?;
        }
        Ok(Self {
            deployment,
            network,
        })
    }
}

fn region_of(host: usize) -> usize {
    host % REGION_COUNT
}

/// Returns, for each region, the address at which the region reaches every host.
///
/// The host list of the platform stays empty, since it would give every region
/// the same address of a host.
fn addrs_by_region(count: usize) -> Result<Vec<Vec<SocketAddr>>> {
    let listen_addrs: Vec<_> = (0..count).map(|_| free_addr()).collect::<Result<_>>()?;
    let addrs_in = |region: usize| {
        let addr = |host: usize| match region_of(host) == region {
            true => Ok(listen_addrs[host]),
            false => free_addr(),
        };
        (0..count).map(addr).collect()
    };
    (0..REGION_COUNT).map(addrs_in).collect()
}
