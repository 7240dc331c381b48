//! Two regions that lose each other for a while.

use {
    anyhow::{ensure, Result},
    fakes::process::{Layout, Path, Regions},
    http::StatusCode,
    serde_json::json,
    std::time::Duration,
    tokio::time::sleep,
};

/// Hosts of the region that holds the platform.
const REACHED: [usize; 2] = [0, 2];
/// Hosts of the other region.
const CUT_OFF: [usize; 2] = [1, 3];
const HOSTS: usize = REACHED.len() + CUT_OFF.len();
/// Revision before the change that is made during the cut.
const BEFORE: u64 = 2;
const POLL_PAUSE: Duration = Duration::from_millis(20);
const MAX_POLLS: usize = 1_500;

#[tokio::test]
async fn a_cut_between_regions_stops_no_answers_and_reverts_no_change() -> Result<()> {
    let Regions { path, border } = Regions::start(Layout {
        hosts: HOSTS,
        ..Layout::default()
    })
    .await?;
    path.configure().await?;
    path.wait_for_members().await?;
    path.wait_for_revision(BEFORE).await?;
    border.cut();
    // Whoever has its relay in the other region has not noticed yet.
    every_host_answers(&path).await?;
    path.wait_for_member_count(&REACHED, REACHED.len()).await?;
    path.wait_for_member_count(&CUT_OFF, CUT_OFF.len()).await?;
    let changed = Path::route_toml("shortfall", 2, true, "");
    path.put_record(&changed).await?;
    wait_for_revisions(&path, &REACHED, BEFORE + 1).await?;
    for host in CUT_OFF {
        assert_eq!(path.revision(host).await?, BEFORE);
    }
    every_host_answers(&path).await?;
    border.mend();
    let all: Vec<_> = (0..HOSTS).collect();
    wait_for_revisions(&path, &all, BEFORE + 1).await?;
    path.wait_for_members().await?;
    for host in 0..HOSTS {
        assert_eq!(path.revision(host).await?, BEFORE + 1);
    }
    every_host_answers(&path).await
}

async fn every_host_answers(path: &Path) -> Result<()> {
    for host in 0..HOSTS {
        let answer = path.query(host, "shortfall", &[], "{}").await?;
        ensure!(answer.status == StatusCode::OK, "{host}: {}", answer.text);
        ensure!(answer.json()["coverage"]["missing"] == json!([]));
    }
    Ok(())
}

/// Waits until hosts have a revision in force; none may go back on the way.
async fn wait_for_revisions(path: &Path, hosts: &[usize], wanted: u64) -> Result<()> {
    let mut held = vec![0; path.hosts.len()];
    for _ in 0..MAX_POLLS {
        for (host, held) in held.iter_mut().enumerate() {
            let revision = path.revision(host).await?;
            ensure!(revision >= *held, "host {host} went back to {revision}");
            *held = revision;
        }
        if hosts.iter().all(|host| held[*host] >= wanted) {
            return Ok(());
        }
        sleep(POLL_PAUSE).await;
    }
    anyhow::bail!("revision {wanted} is not in force: {held:?}")
}
