//! The whole path as separate processes: platform, upstreams and hosts.
//!
//! Every process is started from the build's own output and ended by its pid
//! when the fixture is dropped.

use {
    crate::{
        client::{Answer, TestClient},
        platform::{Calls, Faults},
        upstream::{Behaviour, Seen},
    },
    anyhow::{bail, ensure, Context, Result},
    http::Method,
    nix::unistd::{sysconf, SysconfVar},
    serde_json::json,
    std::{
        env, fs,
        net::{Ipv4Addr, SocketAddr, TcpListener},
        path::PathBuf,
        process::{Child, Command, Stdio},
        sync::atomic::{AtomicU32, Ordering},
        time::Duration,
    },
    store::{ListedHost, Role},
    tokio::time::sleep,
};

/// Bearer token of the hosts.
pub const ADMIN_TOKEN: &str = "token-of-the-tests";

/// Ports of the fixture lie below those that the system gives out by itself.
const FIRST_PORT: u32 = 12_000;
const PORT_COUNT: u32 = 20_000;
/// Place of the user time behind the name in `/proc/<pid>/stat`; the system time follows.
const PROCESSOR_TIME_FIELD: usize = 11;
/// Pause between two looks at something awaited.
const POLL_PAUSE: Duration = Duration::from_millis(20);
/// Number of looks before something awaited counts as missing.
const MAX_POLLS: u32 = 1_500;

/// One process, ended when dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program of the build's output.
    ///
    /// # Errors
    ///
    /// Returns an error if the program has not been built.
    pub fn start(program: &str, arguments: &[String]) -> Result<Self> {
        let path = build_output()?.join(program);
        let child = Command::new(&path)
            .args(arguments)
            .stdout(Stdio::null())
            .stderr(Stdio::inherit())
            .spawn()
            .with_context(|| format!("{} does not start", path.display()))?;
        Ok(Self { child })
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process has ended with success.
    ///
    /// # Errors
    ///
    /// Returns an error if the system cannot tell.
    pub fn has_succeeded(&mut self) -> Result<bool> {
        Ok(self
            .child
            .try_wait()?
            .is_some_and(|status| status.success()))
    }

    /// Returns the processor time that the process has used.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn processor_time(&self) -> Result<Duration> {
        let text = fs::read_to_string(format!("/proc/{}/stat", self.pid()))?;
        // The name in parentheses may hold spaces, so counting starts behind it.
        let (_, fields) = text.rsplit_once(')').context("malformed status")?;
        let ticks: u64 = fields
            .split_whitespace()
            .skip(PROCESSOR_TIME_FIELD)
            .take(2)
            .filter_map(|field| field.parse::<u64>().ok())
            .sum();
        let ticks_per_s = sysconf(SysconfVar::CLK_TCK)?.context("no clock tick")?;
        Ok(Duration::from_secs_f64(ticks as f64 / ticks_per_s as f64))
    }

    /// Returns the resident memory of the process, in bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended.
    pub fn resident_bytes(&self) -> Result<u64> {
        let text = fs::read_to_string(format!("/proc/{}/statm", self.pid()))?;
        let pages: u64 = text
            .split_whitespace()
            .nth(1)
            .context("malformed memory status")?
            .parse()?;
        let page_bytes = sysconf(SysconfVar::PAGE_SIZE)?.context("no page size")?;
        Ok(pages * page_bytes.unsigned_abs())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        // Killing a process that has ended fails, and nothing is owed then.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Runs a program of the build's output to its end and returns what it printed.
///
/// # Errors
///
/// Returns an error with the printed text if the program fails.
pub fn run_program(program: &str, arguments: &[&str]) -> Result<String> {
    let output = Command::new(build_output()?.join(program))
        .args(arguments)
        .output()
        .with_context(|| program.to_owned())?;
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    if !output.status.success() {
        bail!(
            "{program}: {text}{}",
            String::from_utf8_lossy(&output.stderr)
        );
    }
    Ok(text)
}

/// Returns an address whose port is free.
///
/// # Errors
///
/// Returns an error if no port is free.
pub fn free_addr() -> Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let offset = std::process::id().wrapping_mul(97);
    for _ in 0..PORT_COUNT {
        let turn = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + offset.wrapping_add(turn) % PORT_COUNT;
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, u16::try_from(port)?));
        if TcpListener::bind(addr).is_ok() {
            return Ok(addr);
        }
    }
    bail!("no port is free")
}

fn build_output() -> Result<PathBuf> {
    let own = env::current_exe()?;
    let below = own
        .ancestors()
        .find(|path| path.ends_with("deps") || path.ends_with("examples"))
        .and_then(|path| path.parent())
        .or_else(|| own.parent());
    Ok(below.context("the build's output is not found")?.to_owned())
}

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
    layout: Layout,
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
        let (entry_addr, peer_addr, admin_addr) = (free_addr()?, free_addr()?, free_addr()?);
        let mut arguments = vec![
            format!("--host-id={id}"),
            "--region=region-0".to_owned(),
            format!("--zone={zone}"),
            format!("--entry-addr={entry_addr}"),
            format!("--peer-addr={peer_addr}"),
            format!("--admin-addr={admin_addr}"),
            format!("--platform-addr={}", self.platform_addr),
            format!("--admin-token={ADMIN_TOKEN}"),
            "--balancer-lag-ms=100".to_owned(),
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

    /// Publishes the present hosts in the platform's list.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub async fn publish_hosts(&self) -> Result<()> {
        self.publish_leaving(&[]).await
    }

    /// Publishes the present hosts and upstreams that are leaving.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub async fn publish_leaving(&self, upstreams: &[SocketAddr]) -> Result<()> {
        let leaving = upstreams.iter().map(|addr| ListedHost {
            role: Role::Upstream,
            id: format!("upstream-{}", addr.port()),
            addr: *addr,
            region: "region-0".to_owned(),
            zone: "zone-0".to_owned(),
            leaving: true,
        });
        let hosts: Vec<_> = self
            .hosts
            .iter()
            .map(|host| ListedHost {
                role: Role::Wharf,
                id: host.id.clone(),
                addr: host.peer_addr,
                region: "region-0".to_owned(),
                zone: host.zone.clone(),
                leaving: false,
            })
            .chain(leaving)
            .collect();
        let body = serde_json::to_string(&hosts)?;
        self.control(self.platform_addr, "/fake/hosts", body).await
    }

    /// Sets the faults of the platform.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub async fn set_platform_faults(&self, faults: &Faults) -> Result<()> {
        let body = serde_json::to_string(faults)?;
        self.control(self.platform_addr, "/fake/faults", body).await
    }

    /// Returns the revision in force on a host.
    ///
    /// # Errors
    ///
    /// Returns an error if the host does not state one.
    pub async fn revision(&self, host: usize) -> Result<u64> {
        let fleet = self.admin(host, Method::GET, "/v1/admin/fleet", &[], "");
        fleet.await?.json()["revision"].as_u64().context("revision")
    }

    /// Waits until a revision is in force on every host.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not within half a minute.
    pub async fn wait_for_revision(&self, revision: u64) -> Result<()> {
        for host in 0..self.hosts.len() {
            let mut polls = 0;
            while self.revision(host).await? < revision {
                polls += 1;
                ensure!(polls < MAX_POLLS, "revision {revision} is not in force");
                sleep(POLL_PAUSE).await;
            }
        }
        Ok(())
    }

    /// Waits until every host knows every other one.
    ///
    /// # Errors
    ///
    /// Returns an error if they do not within half a minute.
    pub async fn wait_for_members(&self) -> Result<()> {
        for host in 0..self.hosts.len() {
            for polls in 0..=MAX_POLLS {
                ensure!(polls < MAX_POLLS, "host {host} does not know the others");
                let fleet = self.admin(host, Method::GET, "/v1/admin/fleet", &[], "");
                let known = fleet.await?.json()["members"]
                    .as_array()
                    .map_or(0, Vec::len);
                if known >= self.hosts.len() {
                    break;
                }
                sleep(POLL_PAUSE).await;
            }
        }
        Ok(())
    }

    /// Makes the platform keep its state.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub async fn back_up_platform(&self) -> Result<()> {
        let body = String::new();
        self.control(self.platform_addr, "/fake/backup", body).await
    }

    /// Makes the platform go back to the state that it has kept.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub async fn restore_platform(&self) -> Result<()> {
        let body = String::new();
        self.control(self.platform_addr, "/fake/restore", body)
            .await
    }

    /// Returns the calls that the platform has seen.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub async fn platform_calls(&self) -> Result<Calls> {
        let answer = self
            .client
            .send(Method::GET, self.platform_addr, "/fake/calls", &[], "")
            .await?;
        Ok(serde_json::from_str(&answer.text)?)
    }

    /// Calls the administration API of one host.
    ///
    /// # Errors
    ///
    /// Returns an error if the host does not answer.
    pub async fn admin(
        &self,
        host: usize,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Result<Answer> {
        let token = format!("Bearer {ADMIN_TOKEN}");
        let mut all = vec![("authorization", token.as_str())];
        all.extend_from_slice(headers);
        let addr = self.hosts[host].admin_addr;
        self.client
            .send(method, addr, path, &all, body.to_owned())
            .await
    }

    /// Sets the behaviour of every server.
    ///
    /// # Errors
    ///
    /// Returns an error if the upstreams do not answer.
    pub async fn set_behaviour(&self, behaviour: &Behaviour) -> Result<()> {
        let body = serde_json::to_string(behaviour)?;
        self.control(self.control_addr, "/fake/behaviour", body)
            .await
    }

    /// Sets the behaviour of one server.
    ///
    /// # Errors
    ///
    /// Returns an error if the upstreams do not answer.
    pub async fn set_one_behaviour(&self, server: SocketAddr, behaviour: &Behaviour) -> Result<()> {
        let body = serde_json::to_string(behaviour)?;
        let path = format!("/fake/behaviour/{server}");
        self.control(self.control_addr, &path, body).await
    }

    /// Silences the connections that the upstreams hold now; later ones work.
    ///
    /// # Errors
    ///
    /// Returns an error if the upstreams do not answer.
    pub async fn silence_open_connections(&self) -> Result<()> {
        self.control(self.control_addr, "/fake/silence", String::new())
            .await
    }

    /// Returns what the upstreams have seen.
    ///
    /// # Errors
    ///
    /// Returns an error if the upstreams do not answer.
    pub async fn seen(&self) -> Result<Seen> {
        let answer = self
            .client
            .send(Method::GET, self.control_addr, "/fake/seen", &[], "")
            .await?;
        Ok(serde_json::from_str(&answer.text)?)
    }

    /// Returns the TOML text of the service record.
    pub fn service_toml(&self, version: u32, index_versions: &[u64]) -> String {
        let mut text = format!(
            "schema_version = 2\nname = \"restock-desk\"\nversion = {version}\n\n[service]\n\
             connection_limit = {}\nslots = {}\nrelays = {}\n",
            self.layout.behaviour.connection_limit, self.layout.behaviour.slots, self.layout.relays
        );
        for index_version in index_versions {
            text += &format!("\n[[service.indexes]]\nversion = {index_version}\n");
            for (shard, servers) in self.servers.iter().enumerate() {
                text += &format!("[[service.indexes.shards]]\nid = {shard}\nservers = [\n");
                for (i, addr) in servers.iter().enumerate() {
                    text += &format!("  {{ addr = \"{addr}\", zone = \"zone-{i}\" }},\n");
                }
                text += "]\n";
            }
        }
        text
    }

    /// Returns the TOML text of a route record with further lines in its body.
    pub fn route_toml(name: &str, version: u32, repeatable: bool, further: &str) -> String {
        format!(
            "schema_version = 2\nname = \"{name}\"\nversion = {version}\n\n[route]\n\
             service = \"restock-desk\"\nrepeatable = {repeatable}\n\
             default_deadline_ms = 5000\nmax_deadline_ms = 20000\n{further}"
        )
    }

    /// Commits the service record and a repeatable route, and waits until every host is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a record is refused or a host does not get ready.
    pub async fn configure(&self) -> Result<()> {
        self.put_record(&self.service_toml(1, &self.layout.behaviour.index_versions))
            .await?;
        self.put_record(&Self::route_toml("shortfall", 1, true, ""))
            .await?;
        for host in &self.hosts {
            self.wait_for(host.entry_addr, "/readyz").await?;
        }
        Ok(())
    }

    /// Commits a record through the first host.
    ///
    /// # Errors
    ///
    /// Returns an error if the record is refused.
    pub async fn put_record(&self, toml: &str) -> Result<()> {
        let answer = self.put_record_through(0, toml).await?;
        ensure!(answer.status.is_success(), "{}", answer.text);
        Ok(())
    }

    /// Commits a record through one host and returns its answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the host does not answer.
    pub async fn put_record_through(&self, host: usize, toml: &str) -> Result<Answer> {
        let raw = record::RawRecord::from_toml(toml)?;
        let path = format!("/v1/admin/records/{}/{}", raw.name, raw.version);
        let token = format!("Bearer {ADMIN_TOKEN}");
        let headers = [("authorization", token.as_str())];
        let addr = self.hosts[host].admin_addr;
        self.client
            .send(Method::PUT, addr, &path, &headers, raw.to_json())
            .await
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

    async fn control(&self, addr: SocketAddr, path: &str, body: String) -> Result<()> {
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
