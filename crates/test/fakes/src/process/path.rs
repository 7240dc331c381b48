//! The whole path: its start, its hosts and its queries.

use {
    crate::{
        client::{Answer, TestClient},
        process::{free_addr, Process, ADMIN_TOKEN},
        upstream::Behaviour,
    },
    anyhow::{bail, ensure, Result},
    http::Method,
    serde_json::json,
    std::{net::SocketAddr, time::Duration},
    tokio::time::sleep,
};

/// Pause between two looks at something awaited.
pub(super) const POLL_PAUSE: Duration = Duration::from_millis(20);
/// Number of looks before something awaited counts as missing.
pub(super) const MAX_POLLS: u32 = 1_500;

/// What the fixture runs.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Number of hosts.
    pub hosts: usize,
    /// Number of shards.
    pub shards: usize,
    /// Number of servers of a shard.
    pub servers_per_shard: usize,
    /// Behaviour of the servers.
    pub behaviour: Behaviour,
    /// Number of relays that the service record names.
    pub relays: u32,
    /// Time for which a leaving host still takes work, in milliseconds.
    pub balancer_lag_ms: u64,
    /// Further flags of every host.
    pub host_flags: Vec<String>,
}

impl Default for Layout {
    fn default() -> Self {
        Self {
            hosts: 2,
            shards: 4,
            servers_per_shard: 2,
            behaviour: Behaviour::default(),
            relays: 1,
            balancer_lag_ms: 100,
            host_flags: Vec::new(),
        }
    }
}

/// One host of the fixture.
pub struct HostProcess {
    /// Name.
    pub id: String,
    /// Availability zone.
    pub zone: String,
    /// Address for callers.
    pub entry_addr: SocketAddr,
    /// Address for peers.
    pub peer_addr: SocketAddr,
    /// Address for operators.
    pub admin_addr: SocketAddr,
    /// The process.
    pub process: Process,
}

/// Where a host stands, and how it knows the platform.
#[derive(Clone, Copy, Debug)]
pub(super) struct HostPlace<'a> {
    pub(super) id: &'a str,
    pub(super) region: &'a str,
    pub(super) zone: &'a str,
    pub(super) peer_addr: SocketAddr,
    pub(super) platform_addr: SocketAddr,
}

/// The whole path.
pub struct Path {
    /// The hosts.
    pub hosts: Vec<HostProcess>,
    /// Address of the platform.
    pub platform_addr: SocketAddr,
    /// Address of the upstreams' control path.
    pub control_addr: SocketAddr,
    /// Servers of each shard.
    pub servers: Vec<Vec<SocketAddr>>,
    /// Client for all of them.
    pub client: TestClient,
    pub(super) layout: Layout,
    _platform: Process,
    _upstreams: Process,
}

impl Path {
    /// Starts all processes and waits until they listen.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start.
    pub async fn start(layout: Layout) -> Result<Self> {
        let platform_addr = free_addr()?;
        let control_addr = free_addr()?;
        let platform = Process::start("examples/platform", &[format!("--listen={platform_addr}")])?;
        let mut servers = Vec::new();
        for _ in 0..layout.shards {
            let mut shard = Vec::new();
            for _ in 0..layout.servers_per_shard {
                shard.push(free_addr()?);
            }
            servers.push(shard);
        }
        let list: Vec<_> = servers.iter().flatten().map(ToString::to_string).collect();
        let upstreams = Process::start(
            "examples/upstreams",
            &[
                format!("--control={control_addr}"),
                format!("--servers={}", list.join(",")),
                format!("--behaviour={}", serde_json::to_string(&layout.behaviour)?),
            ],
        )?;
        let mut path = Self {
            hosts: Vec::new(),
            platform_addr,
            control_addr,
            servers,
            client: TestClient::default(),
            layout,
            _platform: platform,
            _upstreams: upstreams,
        };
        path.wait_for(platform_addr, "/fake/calls").await?;
        path.wait_for(control_addr, "/fake/seen").await?;
        for i in 0..path.layout.hosts {
            path.add_host(&format!("host-{i}"), &format!("zone-{}", i % 3))?;
        }
        path.publish_hosts().await?;
        for host in &path.hosts {
            path.wait_for(host.admin_addr, "/healthz").await?;
        }
        Ok(path)
    }

    /// Starts a further host; the host list is published apart from it.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not start.
    pub fn add_host(&mut self, id: &str, zone: &str) -> Result<()> {
        self.add_host_with(id, zone, &[])
    }

    /// Starts a further host with flags of its own.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not start.
    pub fn add_host_with(&mut self, id: &str, zone: &str, flags: &[String]) -> Result<()> {
        let place = HostPlace {
            id,
            region: "region-0",
            zone,
            peer_addr: free_addr()?,
            platform_addr: self.platform_addr,
        };
        self.add_host_at(&place, flags)
    }

    pub(super) fn add_host_at(&mut self, place: &HostPlace<'_>, flags: &[String]) -> Result<()> {
        let (entry_addr, admin_addr) = (free_addr()?, free_addr()?);
        let HostPlace {
            id,
            zone,
            peer_addr,
            ..
        } = *place;
        let mut arguments = vec![
            format!("--host-id={id}"),
            format!("--region={}", place.region),
            format!("--zone={zone}"),
            format!("--entry-addr={entry_addr}"),
            format!("--peer-addr={peer_addr}"),
            format!("--admin-addr={admin_addr}"),
            format!("--platform-addr={}", place.platform_addr),
            format!("--admin-token={ADMIN_TOKEN}"),
            format!("--balancer-lag-ms={}", self.layout.balancer_lag_ms),
            "--log-level=warn".to_owned(),
        ];
        arguments.extend(self.layout.host_flags.iter().cloned());
        arguments.extend_from_slice(flags);
        self.hosts.push(HostProcess {
            id: id.to_owned(),
            zone: zone.to_owned(),
            entry_addr,
            peer_addr,
            admin_addr,
            process: Process::start("wharf", &arguments)?,
        });
        Ok(())
    }

    /// Sends a query through one host.
    ///
    /// # Errors
    ///
    /// Returns an error if the host does not answer.
    pub async fn query(
        &self,
        host: usize,
        route: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Answer> {
        let mut all = vec![("x-wharf-tenant", "clerks")];
        all.extend_from_slice(headers);
        let path = format!("/v1/query/{route}");
        let addr = self.hosts[host].entry_addr;
        self.client
            .send(Method::POST, addr, &path, &all, body.to_owned())
            .await
    }

    /// Waits until a path answers with success.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not within half a minute.
    pub async fn wait_for(&self, addr: SocketAddr, path: &str) -> Result<()> {
        for _ in 0..MAX_POLLS {
            let answer = self.client.send(Method::GET, addr, path, &[], "").await;
            if answer.is_ok_and(|a| a.status.is_success()) {
                return Ok(());
            }
            sleep(POLL_PAUSE).await;
        }
        bail!("{addr}{path} does not answer")
    }

    pub(super) async fn control(&self, addr: SocketAddr, path: &str, body: String) -> Result<()> {
        let headers = [("content-type", "application/json")];
        let answer = self
            .client
            .send(Method::PUT, addr, path, &headers, body)
            .await?;
        ensure!(
            answer.status.is_success(),
            "{}",
            json!({ "path": path, "status": answer.status.as_u16(), "text": answer.text })
        );
        Ok(())
    }
}
