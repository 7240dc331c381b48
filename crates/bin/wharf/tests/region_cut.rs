//! A temporary network partition between two regions.

use {
    anyhow::{ensure, Result},
    fakes::process::{Deployment, DeploymentConfig, Regions},
    http::StatusCode,
    serde_json::json,
    std::time::Duration,
    tokio::time::sleep,
};

/// Hosts in the region of the platform.
const PLATFORM_REGION: [usize; 2] = [0, 2];
/// Hosts in the region that is cut off from the platform.
const OTHER_REGION: [usize; 2] = [1, 3];
const HOSTS: usize = PLATFORM_REGION.len() + OTHER_REGION.len();
/// Revision before the change that is made during the partition.
const INITIAL_REVISION: u64 = 2;
const POLL_PAUSE: Duration = Duration::from_millis(20);
const MAX_POLLS: usize = 1_500;

#[tokio::test]
async fn a_partition_between_regions_fails_no_query_and_reverts_no_change() -> Result<()> {
    let Regions {
        deployment,
        network,
    } = Regions::start(DeploymentConfig {
        hosts: HOSTS,
        ..DeploymentConfig::default()
    })
    .await?;
    deployment.configure().await?;
    deployment.wait_for_members().await?;
    deployment.wait_for_revision(INITIAL_REVISION).await?;
    network.partition();
    // Hosts whose relay is in the other region have not detected the partition yet.
    assert_every_host_answers(&deployment).await?;
    deployment
        .wait_for_member_count(&PLATFORM_REGION, PLATFORM_REGION.len())
        .await?;
    deployment
        .wait_for_member_count(&OTHER_REGION, OTHER_REGION.len())
        .await?;
    let new_version = Deployment::route_toml("shortfall", 2, true, "");
    deployment.put_record(&new_version).await?;
    wait_for_revisions(&deployment, &PLATFORM_REGION, INITIAL_REVISION + 1).await?;
    for host in OTHER_REGION {
        assert_eq!(deployment.revision(host).await?, INITIAL_REVISION);
    }
    assert_every_host_answers(&deployment).await?;
    network.heal();
    let all: Vec<_> = (0..HOSTS).collect();
    wait_for_revisions(&deployment, &all, INITIAL_REVISION + 1).await?;
    deployment.wait_for_members().await?;
    for host in 0..HOSTS {
        assert_eq!(deployment.revision(host).await?, INITIAL_REVISION + 1);
    }
    assert_every_host_answers(&deployment).await
}

async fn assert_every_host_answers(deployment: &Deployment) -> Result<()> {
    for host in 0..HOSTS {
        let answer = deployment.query(host, "shortfall", &[], "{}").await?;
        ensure!(answer.status == StatusCode::OK, "{host}: {}", answer.text);
        ensure!(answer.json()["coverage"]["missing"] == json!([]));
    }
    Ok(())
}

/// Waits until `hosts` have a revision in force; fails if any host goes back to an
/// older one.
async fn wait_for_revisions(deployment: &Deployment, hosts: &[usize], expected: u64) -> Result<()> {
    let mut revisions = vec![0; deployment.hosts.len()];
    for _ in 0..MAX_POLLS {
        for (host, last) in revisions.iter_mut().enumerate() {
            let revision = deployment.revision(host).await?;
            ensure!(revision >= *last, "host {host} went back to {revision}");
            *last = revision;
        }
        if hosts.iter().all(|host| revisions[*host] >= expected) {
            return Ok(());
        }
        sleep(POLL_PAUSE).await;
    }
    anyhow::bail!("revision {expected} is not in force: {revisions:?}")
}
