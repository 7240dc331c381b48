//! `wharfctl in-force` and the wait of `--wait`.

use {
    crate::{
        api::{Api, Call},
        change::Target,
        failure::Failure,
    },
    anyhow::{Context, Result},
    clap::ArgMatches,
    serde::Deserialize,
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// Pause after the first look; it doubles with each.
const MIN_LOOK_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between two looks.
const MAX_LOOK_PAUSE: Duration = Duration::from_secs(1);

/// Most lagging hosts that a sentence names.
const MAX_NAMED_HOSTS: usize = 20;

/// Where a change is in force, as a host states it.
#[derive(Deserialize)]
struct InForce {
    in_force_on: usize,
    hosts: usize,
    lagging: Vec<Lagging>,
}

#[derive(Deserialize)]
struct Lagging {
    host: String,
    revision: Option<u64>,
    /// Whether the host was asked directly; hosts of older releases ask them all.
    #[serde(default = "yes")]
    is_asked: bool,
}

fn yes() -> bool {
    true
}

impl InForce {
    fn sentence(&self) -> String {
        let named = self.lagging.iter().take(MAX_NAMED_HOSTS);
        let mut lagging: Vec<_> = named.map(Lagging::text).collect();
        if self.lagging.len() > MAX_NAMED_HOSTS {
            lagging.push(format!("{} more", self.lagging.len() - MAX_NAMED_HOSTS));
        }
        let lagging = match lagging.is_empty() {
            true => String::new(),
            false => format!(", lagging: {}", lagging.join(", ")),
        };
        format!(
            "in force on {} of {} hosts{lagging}",
            self.in_force_on, self.hosts
        )
    }
}

impl Lagging {
    fn text(&self) -> String {
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
        .send(&Call::get(Target::new(matches)?.path("/in-force", &[])))
        .await?
        .success()?;
    if matches.get_flag("json") {
        println!("{text}");
        return Ok(());
    }
    let in_force: InForce = serde_json::from_str(&text)?;
    println!("{}", in_force.sentence());
    Ok(())
}

/// Waits until a change is in force on every host.
///
/// # Errors
///
/// Returns an error that names the lagging hosts once the time is over.
pub(crate) async fn wait(api: &Api, revision: u64, timeout: Duration, is_json: bool) -> Result<()> {
    // By the revision, which asks nothing of the store.
    let path = format!("/v1/admin/in-force?revision={revision}");
    let until = Instant::now() + timeout;
    let mut pause = MIN_LOOK_PAUSE;
    loop {
        let text = api.send(&Call::get(path.clone())).await?.success()?;
        let in_force: InForce = serde_json::from_str(&text).with_context(|| text.clone())?;
        if in_force.lagging.is_empty() {
            match is_json {
                true => println!("{text}"),
                false => println!("{}", in_force.sentence()),
            }
            return Ok(());
        }
        if Instant::now() >= until {
            return Err(Failure::NotEverywhere(in_force.sentence()).into());
        }
        sleep(pause).await;
        pause = (pause * 2).min(MAX_LOOK_PAUSE);
    }
}
