//! `wharfctl in-force` and the wait of `--wait`.

use {
    crate::{
        api::{Api, Call},
        change::Target,
    },
    anyhow::{bail, Context, Result},
    clap::ArgMatches,
    serde::Deserialize,
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// Pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(200);

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
}

impl InForce {
    fn sentence(&self) -> String {
        let lagging: Vec<_> = self.lagging.iter().map(Lagging::text).collect();
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
            None => format!("{} (no answer)", self.host),
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
pub(crate) async fn wait(
    api: &Api,
    record: Option<(String, u32)>,
    revision: u64,
    timeout: Duration,
    is_json: bool,
) -> Result<()> {
    let path = match record {
        Some((name, version)) => format!("/v1/admin/records/{name}/{version}/in-force"),
        None => format!("/v1/admin/in-force?revision={revision}"),
    };
    let until = Instant::now() + timeout;
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
            bail!("accepted, but {}", in_force.sentence());
        }
        sleep(LOOK_PAUSE).await;
    }
}
