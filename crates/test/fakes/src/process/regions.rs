//! Hosts of two regions, with the border between them in the test's hand.
//!
//! The platform stands in the first region. The hosts of a region know each of
//! the other one by the same passage through the border, for they tell each
//! other its address.

use {
    crate::{
        border::{Border, Cargo, Translation},
        process::{free_addr, path::HostPlace, Layout, Path},
    },
    anyhow::Result,
    std::net::SocketAddr,
};

/// Number of regions.
const REGIONS: usize = 2;

/// The whole path in two regions.
pub struct Regions {
    /// The path; hosts with even numbers are in the first region.
    pub path: Path,
    /// The border between the regions.
    pub border: Border,
}

impl Regions {
    /// Starts the hosts of `layout`, by turns in either region.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start.
    pub async fn start(layout: Layout) -> Result<Self> {
        let count = layout.hosts;
        let mut path = Path::start(Layout { hosts: 0, ..layout }).await?;
        let border = Border::default();
        let known = known_addrs(count)?;
        for (region, near) in known.iter().enumerate() {
            for host in (0..count).filter(|host| region_of(*host) != region) {
                let far = &known[region_of(host)];
                let pairs = near.iter().copied().zip(far.iter().copied());
                let cargo = Cargo::Frames(Translation::new(pairs));
                border.open(near[host], far[host], cargo).await?;
            }
        }
        let platform_addr = free_addr()?;
        let far_platform = path.platform_addr;
        border
            .open(platform_addr, far_platform, Cargo::Bytes)
            .await?;
        for i in 0..count {
            let region = region_of(i);
            let known = &known[region];
            let seeds = (0..count).filter(|seed| *seed != i);
            let seeds: Vec<_> = seeds.map(|seed| known[seed].to_string()).collect();
            let place = HostPlace {
                id: &format!("host-{i}"),
                region: &format!("region-{region}"),
                zone: &format!("zone-{i}"),
                peer_addr: known[i],
                platform_addr: [far_platform, platform_addr][region],
            };
            path.add_host_at(&place, &[format!("--seed-peers={}", seeds.join(","))])?;
        }
        for host in &path.hosts {
            path.wait_for(host.admin_addr, "/healthz").await?;
        }
        Ok(Self { path, border })
    }
}

fn region_of(host: usize) -> usize {
    host % REGIONS
}

/// Returns, for each region, the address of every host as the region knows it.
///
/// The list of the platform stays empty, since it would name the same address
/// of a host to all.
fn known_addrs(count: usize) -> Result<Vec<Vec<SocketAddr>>> {
    let own: Vec<_> = (0..count).map(|_| free_addr()).collect::<Result<_>>()?;
    let known_in = |region: usize| {
        let addr = |host: usize| match region_of(host) == region {
            true => Ok(own[host]),
            false => free_addr(),
        };
        (0..count).map(addr).collect()
    };
    (0..REGIONS).map(known_in).collect()
}
