//! `wharfctl in-force` and the implementation of `--wait`.

use {
    crate::{
        api::{Api, ApiRequest},
        change::RecordTarget,
        failure::Failure,
    },
    anyhow::{Context, Result},
    clap::ArgMatches,
    serde::Deserialize,
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// Interval after the first poll; it doubles with each poll.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longest interval between two polls.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of lagging hosts listed in a summary.
const MAX_NAMED_HOSTS: usize = 20;

/// Where a change is in force, as reported by a host.
#[derive(Deserialize)]
struct InForce {
    /// Host whose view the counts reflect. Older releases do not send it.
    host: Option<String>,
    in_force_on: usize,
    hosts: usize,
    lagging: Vec<LaggingHost>,
}

#[derive(Deserialize)]
struct LaggingHost {
    host: String,
    revision: Option<u64>,
    /// Whether the host was asked directly. Older releases ask every host and do not
    /// send this field.
    #[serde(default = "yes")]
    is_asked: bool,
}

/// Default of `is_asked`.
fn yes() -> bool {
    true
}

impl InForce {
    fn summary(&self) -> String {
        let listed = self.lagging.iter().take(MAX_NAMED_HOSTS);
        let mut lagging: Vec<_> = listed.map(LaggingHost::description).collect();
        if self.lagging.len() > MAX_NAMED_HOSTS {
            lagging.push(format!("{} more", self.lagging.len() - MAX_NAMED_HOSTS));
        }
        let lagging = match lagging.is_empty() {
            true => String::new(),
            false => format!(", lagging: {}", lagging.join(", ")),
        };
        let host = self.host.as_ref();
        let view = host.map(|host| format!(", as {host} knows the hosts"));
        format!(
            "in force on {} of {} hosts{lagging}{}",
            self.in_force_on,
            self.hosts,
            view.unwrap_or_default()
        )
    }
}

impl LaggingHost {
    fn description(&self) -> String {
        match self.revision {
            Some(revision) => format!("{} (revision {revision})", self.host),
            None if self.is_asked => format!("{} (no answer)", self.host),
            None => format!("{} (not asked)", self.host),
        }
    }
}

/// Prints where the newest change of a record is in force.
pub(crate) async fn show(matches: &ArgMatches) -> Result<()> {
    let api = Api::new(matches)?;
    let text = api
        .send(&ApiRequest::get(
            RecordTarget::new(matches)?.path("/in-force", &[]),
        ))
        .await?
        .into_text()?;
    if matches.get_flag("json") {
        println!("{text}");
        return Ok(());
    }
    let in_force: InForce = serde_json::from_str(&text)?;
    println!("{}", in_force.summary());
    Ok(())
}

/// Waits until a change is in force on every host.
///
/// # Errors
///
/// Returns an error that lists the lagging hosts if the timeout expires.
pub(crate) async fn wait(api: &Api, revision: u64, timeout: Duration, is_json: bool) -> Result<()> {
    // Poll by revision, because that request does not read the store.
    let path = format!("/v1/admin/in-force?revision={revision}");
    let deadline = Instant::now() + timeout;
    let mut interval = MIN_POLL_INTERVAL;
    loop {
        let text = api
            .send(&ApiRequest::get(path.clone()))
            .await?
            .into_text()?;
        let in_force: InForce = serde_json::from_str(&text).with_context(|| text.clone())?;
        if in_force.lagging.is_empty() {
            match is_json {
                true => println!("{text}"),
                false => println!("{}", in_force.summary()),
            }
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(Failure::NotInForceEverywhere(in_force.summary()).into());
        }
        sleep(interval).await;
        interval = (interval * 2).min(MAX_POLL_INTERVAL);
    }
}
