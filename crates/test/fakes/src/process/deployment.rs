//! The test deployment: starting it, adding hosts and sending queries.

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

/// Interval between polls of a condition.
pub(super) const POLL_PAUSE: Duration = Duration::from_millis(20);
/// Number of polls before a wait fails; with [`POLL_PAUSE`], 30 seconds.
pub(super) const MAX_POLLS: u32 = 1_500;

/// Configuration of a test deployment.
#[derive(Clone, Debug)]
pub struct DeploymentConfig {
    /// Number of hosts.
    pub hosts: usize,
    /// Number of shards.
    pub shards: usize,
    /// Number of servers of a shard.
    pub servers_per_shard: usize,
    /// Behaviour of the servers.
    pub behaviour: Behaviour,
    /// Number of relays in the service record.
    pub relays: u32,
    /// Time for which a leaving host still accepts work, in milliseconds.
    pub balancer_lag_ms: u64,
    /// Additional flags of every host.
    pub host_flags: Vec<String>,
}

impl Default for DeploymentConfig {
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

/// A host process of the deployment.
pub struct HostProcess {
    /// Host id.
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

/// Identity and addresses of a host to start.
#[derive(Clone, Copy, Debug)]
pub(super) struct HostConfig<'a> {
    pub(super) id: &'a str,
    pub(super) region: &'a str,
    pub(super) zone: &'a str,
    pub(super) peer_addr: SocketAddr,
    pub(super) platform_addr: SocketAddr,
}

/// A test deployment.
pub struct Deployment {
    /// The hosts.
    pub hosts: Vec<HostProcess>,
    /// Address of the platform.
    pub platform_addr: SocketAddr,
    /// Address of the control API of the upstreams.
    pub control_addr: SocketAddr,
    /// Servers of each shard.
    pub servers: Vec<Vec<SocketAddr>>,
    /// HTTP client for all addresses.
    pub client: TestClient,
    pub(super) config: DeploymentConfig,
    _platform: Process,
    _upstreams: Process,
}

impl Deployment {
    /// Starts all processes and waits until they listen.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not start.
    pub async fn start(config: DeploymentConfig) -> Result<Self> {
        let platform_addr = free_addr()?;
        let control_addr = free_addr()?;
        let platform = Process::start("examples/platform", &[format!("--listen={platform_addr}")])?;
        let mut servers = Vec::new();
        for _ in 0..config.shards {
            let mut shard = Vec::new();
            for _ in 0..config.servers_per_shard {
                shard.push(free_addr()?);
            }
            servers.push(shard);
        }
        let server_addrs: Vec<_> = servers.iter().flatten().map(ToString::to_string).collect();
        let upstreams = Process::start(
            "examples/upstreams",
            &[
                format!("--control={control_addr}"),
                format!("--servers={}", server_addrs.join(",")),
                format!("--behaviour={}", serde_json::to_string(&config.behaviour)?),
            ],
        )?;
        let mut deployment = Self {
            hosts: Vec::new(),
            platform_addr,
            control_addr,
            servers,
            client: TestClient::default(),
            config,
            _platform: platform,
            _upstreams: upstreams,
        };
        deployment.wait_for(platform_addr, "/fake/calls").await?;
        deployment.wait_for(control_addr, "/fake/seen").await?;
        for i in 0..deployment.config.hosts {
            deployment.add_host(&format!("host-{i}"), &format!("zone-{}", i % 3))?;
        }
        deployment.publish_hosts().await?;
        for host in &deployment.hosts {
            deployment.wait_for(host.admin_addr, "/healthz").await?;
        }
        Ok(deployment)
    }

    /// Starts another host, without publishing it in the host list.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not start.
    pub fn add_host(&mut self, id: &str, zone: &str) -> Result<()> {
        self.add_host_with(id, zone, &[])
    }

    /// Starts another host with additional flags.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not start.
    pub fn add_host_with(&mut self, id: &str, zone: &str, flags: &[String]) -> Result<()> {
        let config = HostConfig {
            id,
            region: "region-0",
            zone,
            peer_addr: free_addr()?,
            platform_addr: self.platform_addr,
        };
        self.start_host(&config, flags)
    }

    pub(super) fn start_host(&mut self, config: &HostConfig<'_>, flags: &[String]) -> Result<()> {
        let (entry_addr, admin_addr) = (free_addr()?, free_addr()?);
        let HostConfig {
            id,
            zone,
            peer_addr,
            ..
        } = *config;
        let mut arguments = vec![
            format!("--host-id={id}"),
            format!("--region={}", config.region),
            format!("--zone={zone}"),
            format!("--entry-addr={entry_addr}"),
            format!("--peer-addr={peer_addr}"),
            format!("--admin-addr={admin_addr}"),
            format!("--platform-addr={}", config.platform_addr),
            format!("--admin-token={ADMIN_TOKEN}"),
            format!("--balancer-lag-ms={}", self.config.balancer_lag_ms),
            "--log-level=warn".to_owned(),
        ];
        arguments.extend(self.config.host_flags.iter().cloned());
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
        let mut all_headers = vec![("x-wharf-tenant", "clerks")];
        all_headers.extend_from_slice(headers);
        let path = format!("/v1/query/{route}");
        let addr = self.hosts[host].entry_addr;
        self.client
            .send(Method::POST, addr, &path, &all_headers, body.to_owned())
            .await
    }

    /// Waits until a path responds with success.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not within 30 seconds.
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

    pub(super) async fn put_json(&self, addr: SocketAddr, path: &str, body: String) -> Result<()> {
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
