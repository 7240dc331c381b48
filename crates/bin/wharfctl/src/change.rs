//! `wharfctl put`, `retire`, `rollback` and `recover`.
//!
//! A command makes one operation identifier for each change and repeats the
//! call under it while the outcome is unknown. A repeat never commits twice.

use {
    crate::{
        api::{Api, Call},
        check,
        failure::Failure,
        in_force,
    },
    anyhow::{bail, Context, Result},
    clap::ArgMatches,
    http::{Method, StatusCode},
    serde::Deserialize,
    std::time::Duration,
    tokio::time::sleep,
};

/// Most calls for one operation.
const MAX_CALLS: u32 = 5;
/// Pause before a repeat, growing with each.
const REPEAT_PAUSE: Duration = Duration::from_millis(400);

/// The answer to an accepted change.
#[derive(Deserialize)]
struct Accepted {
    revision: u64,
    operation_id: String,
    is_repeat: bool,
}

/// A change as it is sent.
struct Change {
    what: String,
    method: Method,
    path: String,
    body: String,
}

/// Commits every file.
pub(crate) async fn put(matches: &ArgMatches) -> Result<()> {
    let api = Api::new(matches)?;
    let mut raws = Vec::new();
    // All files are checked before the first is committed.
    for file in matches.get_many::<String>("file").into_iter().flatten() {
        raws.push((file, check::read(file)?));
    }
    if raws.len() > 1 && matches.contains_id("operation-id") {
        bail!(
            "--operation-id: names one change, {} files are given",
            raws.len()
        );
    }
    // A route is refused as long as its service is not in force.
    raws.sort_by_key(|(_, raw)| raw.route.is_some());
    for (file, raw) in raws {
        let change = Change {
            what: file.clone(),
            method: Method::PUT,
            path: format!("/v1/admin/records/{}/{}", raw.name, raw.version),
            body: raw.to_json(),
        };
        run(&api, matches, change).await?;
    }
    Ok(())
}

/// Takes a record out of force.
pub(crate) async fn retire(matches: &ArgMatches) -> Result<()> {
    let target = Target::new(matches)?;
    let change = Change {
        what: target.what(),
        method: Method::DELETE,
        path: target.path("", &[]),
        body: String::new(),
    };
    run(&Api::new(matches)?, matches, change).await
}

/// Brings an earlier body into force again.
pub(crate) async fn roll_back(matches: &ArgMatches) -> Result<()> {
    let target = Target::new(matches)?;
    let to: u64 = *matches.get_one("to").context("--to")?;
    let change = Change {
        what: target.what(),
        method: Method::POST,
        path: target.path("/rollback", &[format!("to_revision={to}")]),
        body: String::new(),
    };
    run(&Api::new(matches)?, matches, change).await
}

/// Gives the store back what the hosts hold.
pub(crate) async fn recover(matches: &ArgMatches) -> Result<()> {
    let change = Change {
        what: "recovery".to_owned(),
        method: Method::POST,
        path: "/v1/admin/recover".to_owned(),
        body: String::new(),
    };
    run(&Api::new(matches)?, matches, change).await
}

/// The record that a command names.
pub(crate) struct Target {
    pub(crate) name: String,
    pub(crate) version: u32,
    kind: Option<String>,
}

impl Target {
    pub(crate) fn new(matches: &ArgMatches) -> Result<Self> {
        Ok(Self {
            name: matches.get_one::<String>("name").cloned().context("name")?,
            version: *matches.get_one("version").context("version")?,
            kind: matches.get_one::<String>("kind").cloned(),
        })
    }

    fn what(&self) -> String {
        format!("{}/{}", self.name, self.version)
    }

    pub(crate) fn path(&self, below: &str, queries: &[String]) -> String {
        let kind = self.kind.as_ref().map(|kind| format!("kind={kind}"));
        let queries: Vec<_> = queries.iter().cloned().chain(kind).collect();
        format!(
            "/v1/admin/records/{}/{}{below}?{}",
            self.name,
            self.version,
            queries.join("&")
        )
    }
}

async fn run(api: &Api, matches: &ArgMatches, change: Change) -> Result<()> {
    let what = change.what.clone();
    let text = send(api, matches, change)
        .await
        .with_context(|| what.clone())?;
    let accepted: Accepted = serde_json::from_str(&text).with_context(|| text.clone())?;
    if matches.get_flag("json") {
        println!("{text}");
    } else {
        let earlier = if accepted.is_repeat {
            " by an earlier call"
        } else {
            ""
        };
        println!(
            "{what}: accepted{earlier} as revision {}, operation {}",
            accepted.revision, accepted.operation_id
        );
    }
    if !matches.get_flag("wait") {
        return Ok(());
    }
    let timeout_ms: u64 = *matches
        .get_one("wait-timeout-ms")
        .context("--wait-timeout-ms")?;
    let timeout = Duration::from_millis(timeout_ms);
    let is_json = matches.get_flag("json");
    in_force::wait(api, accepted.revision, timeout, is_json).await
}

async fn send(api: &Api, matches: &ArgMatches, change: Change) -> Result<String> {
    let operation_id = matches
        .get_one::<String>("operation-id")
        .cloned()
        .unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
    let mut call = Call {
        method: change.method,
        path: change.path,
        body: change.body,
        headers: headers(matches, &operation_id),
    };
    // Whether a call may have reached a host; a repeat says so.
    let mut may_have_run = matches.contains_id("operation-id");
    for attempt in 1..=MAX_CALLS {
        if may_have_run {
            call.headers.retain(|header| *header != repeat_header());
            call.headers.push(repeat_header());
        }
        let failure = match api.send(&call).await {
            Ok(reply) if reply.status.is_success() => return Ok(reply.text),
            Ok(reply) if may_repeat(reply.status) => reply.error(),
            Ok(reply) => return Err(reply.error()),
            Err(error) => error,
        };
        let is_unsent = matches!(failure.downcast_ref(), Some(Failure::Unreachable(_)));
        if is_unsent && !may_have_run {
            return Err(failure);
        }
        may_have_run = true;
        if attempt < MAX_CALLS {
            eprintln!("{failure:#}; repeating operation {operation_id}");
            sleep(REPEAT_PAUSE * attempt).await;
            continue;
        }
        let last = format!("{failure:#}");
        return Err(Failure::OutcomeUnknown { operation_id, last }.into());
    }
    bail!("no call was made")
}

/// Returns the header by which a repeat says that it is one.
fn repeat_header() -> (&'static str, String) {
    ("x-wharf-repeat", "true".to_owned())
}

/// Returns whether the outcome is unknown or may be another after a pause.
fn may_repeat(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::GATEWAY_TIMEOUT | StatusCode::BAD_GATEWAY
    )
}

fn headers(matches: &ArgMatches, operation_id: &str) -> Vec<(&'static str, String)> {
    let mut headers = vec![("x-wharf-operation-id", operation_id.to_owned())];
    if let Some(operator) = matches.get_one::<String>("operator") {
        headers.push(("x-wharf-operator", operator.clone()));
    }
    let number = |name: &str| matches.try_get_one::<u64>(name).ok().flatten();
    if let Some(revision) = number("if-match") {
        headers.push(("if-match", format!("\"record-{revision}\"")));
    }
    if let Some(revision) = number("if-head") {
        headers.push(("if-match", format!("\"head-{revision}\"")));
    }
    if matches.try_get_one::<bool>("create").ok().flatten() == Some(&true) {
        headers.push(("if-none-match", "*".to_owned()));
    }
    headers
}
