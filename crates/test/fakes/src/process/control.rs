//! What a test does to the stand-ins and asks of them and of operators' paths.

use {
    crate::{
        client::Answer,
        platform::{Calls, Faults},
        process::{
            path::{MAX_POLLS, POLL_PAUSE},
            Path, ADMIN_TOKEN,
        },
        upstream::{Behaviour, Seen},
    },
    anyhow::{bail, ensure, Context, Result},
    http::Method,
    std::net::SocketAddr,
    store::{ListedHost, Role},
    tokio::time::sleep,
};

impl Path {
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
        let all: Vec<_> = (0..self.hosts.len()).collect();
        self.wait_for_member_count(&all, all.len()).await
    }

    /// Waits until each of the given hosts knows exactly `count` members.
    ///
    /// # Errors
    ///
    /// Returns an error if one does not within half a minute.
    pub async fn wait_for_member_count(&self, hosts: &[usize], count: usize) -> Result<()> {
        for _ in 0..MAX_POLLS {
            let mut agreeing = 0;
            for host in hosts {
                let fleet = self.admin(*host, Method::GET, "/v1/admin/fleet", &[], "");
                let members = fleet.await?.json()["members"].as_array().map(Vec::len);
                agreeing += usize::from(members == Some(count));
            }
            if agreeing == hosts.len() {
                return Ok(());
            }
            sleep(POLL_PAUSE).await;
        }
        bail!("the hosts {hosts:?} never knew {count} members")
    }

    /// Returns the exposition of a host's metrics.
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
    pub async fn relay(&self) -> Result<usize> {
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
}
