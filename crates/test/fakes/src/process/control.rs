//! Control of the fakes, and access to the administration API and metrics of hosts.

use {
    crate::{
        client::Answer,
        platform::{Calls, Faults},
        process::{
            deployment::{MAX_POLLS, POLL_PAUSE},
            Deployment, ADMIN_TOKEN,
        },
        upstream::{Behaviour, Counters},
    },
    anyhow::{bail, ensure, Context, Result},
    http::Method,
    std::net::SocketAddr,
    store::{ListedHost, Role},
    tokio::time::sleep,
};

impl Deployment {
    /// Publishes the current hosts in the platform's host list.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub async fn publish_hosts(&self) -> Result<()> {
        self.publish_leaving(&[]).await
    }

    /// Publishes the current hosts, and the given upstreams as leaving.
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
        self.put_json(self.platform_addr, "/fake/hosts", body).await
    }

    /// Sets the faults of the platform.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub async fn set_platform_faults(&self, faults: &Faults) -> Result<()> {
        let body = serde_json::to_string(faults)?;
        self.put_json(self.platform_addr, "/fake/faults", body)
            .await
    }

    /// Returns the revision in force on a host.
    ///
    /// # Errors
    ///
    /// Returns an error if the host does not report one.
    pub async fn revision(&self, host: usize) -> Result<u64> {
        let fleet = self.admin(host, Method::GET, "/v1/admin/fleet", &[], "");
        fleet.await?.json()["revision"]
            .as_u64()
            .context("the fleet report states no revision")
    }

    /// Waits until a revision is in force on every host.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not within 30 seconds.
    pub async fn wait_for_revision(&self, revision: u64) -> Result<()> {
        for host in 0..self.hosts.len() {
            let mut polls = 0;
            while self.revision(host).await? < revision {
                polls += 1;
                ensure!(
                    polls < MAX_POLLS,
                    "revision {revision} is not in force on host {host}"
                );
                sleep(POLL_PAUSE).await;
            }
        }
        Ok(())
    }

    /// Waits until every host knows every other host.
    ///
    /// # Errors
    ///
    /// Returns an error if they do not within 30 seconds.
    pub async fn wait_for_members(&self) -> Result<()> {
        let all: Vec<_> = (0..self.hosts.len()).collect();
        self.wait_for_member_count(&all, all.len()).await
    }

    /// Waits until each of the given hosts knows exactly `count` members.
    ///
    /// # Errors
    ///
    /// Returns an error if one of them does not within 30 seconds.
    pub async fn wait_for_member_count(&self, hosts: &[usize], count: usize) -> Result<()> {
        for _ in 0..MAX_POLLS {
            let mut agreeing_hosts = 0;
            for host in hosts {
                let fleet = self.admin(*host, Method::GET, "/v1/admin/fleet", &[], "");
                let members = fleet.await?.json()["members"].as_array().map(Vec::len);
                agreeing_hosts += usize::from(members == Some(count));
            }
            if agreeing_hosts == hosts.len() {
                return Ok(());
            }
            sleep(POLL_PAUSE).await;
        }
        bail!("the hosts {hosts:?} do not all know {count} members")
    }

    /// Returns the metrics of a host in the text exposition format.
    ///
    /// # Errors
    ///
    /// Returns an error if the host does not answer.
    pub async fn metrics(&self, host: usize) -> Result<String> {
        let addr = self.hosts[host].admin_addr;
        let answer = self.client.send(Method::GET, addr, "/metrics", &[], "");
        Ok(answer.await?.text)
    }

    /// Returns the first host that has called an upstream.
    ///
    /// # Errors
    ///
    /// Returns an error if none has.
    pub async fn first_calling_host(&self) -> Result<usize> {
        for host in 0..self.hosts.len() {
            if self
                .metrics(host)
                .await?
                .contains("wharf_leaf_calls_total{")
            {
                return Ok(host);
            }
        }
        bail!("no host has called an upstream")
    }

    /// Backs up the entries of the platform.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub async fn back_up_platform(&self) -> Result<()> {
        let body = String::new();
        self.put_json(self.platform_addr, "/fake/backup", body)
            .await
    }

    /// Restores the entries of the platform from the last backup.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub async fn restore_platform(&self) -> Result<()> {
        let body = String::new();
        self.put_json(self.platform_addr, "/fake/restore", body)
            .await
    }

    /// Returns the calls that the platform has received.
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
        let mut all_headers = vec![("authorization", token.as_str())];
        all_headers.extend_from_slice(headers);
        let addr = self.hosts[host].admin_addr;
        self.client
            .send(method, addr, path, &all_headers, body.to_owned())
            .await
    }

    /// Sets the behaviour of every server.
    ///
    /// # Errors
    ///
    /// Returns an error if the upstreams do not answer.
    pub async fn set_behaviour(&self, behaviour: &Behaviour) -> Result<()> {
        let body = serde_json::to_string(behaviour)?;
        self.put_json(self.control_addr, "/fake/behaviour", body)
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
        self.put_json(self.control_addr, &path, body).await
    }

    /// Silences the open connections of the upstreams; later ones work.
    ///
    /// # Errors
    ///
    /// Returns an error if the upstreams do not answer.
    pub async fn silence_open_connections(&self) -> Result<()> {
        self.put_json(self.control_addr, "/fake/silence", String::new())
            .await
    }

    /// Returns the counters of the upstreams.
    ///
    /// # Errors
    ///
    /// Returns an error if the upstreams do not answer.
    pub async fn counters(&self) -> Result<Counters> {
        let answer = self
            .client
            .send(Method::GET, self.control_addr, "/fake/seen", &[], "")
            .await?;
        Ok(serde_json::from_str(&answer.text)?)
    }
}
