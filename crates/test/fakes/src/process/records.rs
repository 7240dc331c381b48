//! Configuration records of a test deployment.

use {
    crate::{
        client::Answer,
        process::{Deployment, ADMIN_TOKEN},
    },
    anyhow::{ensure, Result},
    http::Method,
};

impl Deployment {
    /// Returns the TOML text of the service record.
    pub fn service_toml(&self, version: u32, index_versions: &[u64]) -> String {
        let mut text = format!(
            "schema_version = 2\nname = \"restock-desk\"\nversion = {version}\n\n[service]\n\
             connection_limit = {}\nslots = {}\nrelays = {}\n",
            self.config.behaviour.connection_limit, self.config.behaviour.slots, self.config.relays
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

    /// Returns the TOML text of a route record with additional lines in its body.
    pub fn route_toml(name: &str, version: u32, repeatable: bool, extra_lines: &str) -> String {
        format!(
            "schema_version = 2\nname = \"{name}\"\nversion = {version}\n\n[route]\n\
             service = \"restock-desk\"\nrepeatable = {repeatable}\n\
             default_deadline_ms = 5000\nmax_deadline_ms = 20000\n{extra_lines}"
        )
    }

    /// Commits the service record and a repeatable route, and waits until every host is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a record is refused or a host does not become ready.
    pub async fn configure(&self) -> Result<()> {
        self.put_record(&self.service_toml(1, &self.config.behaviour.index_versions))
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

    /// Commits a record through one host and returns the response.
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
}
