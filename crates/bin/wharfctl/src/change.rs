//! `wharfctl put`, `retire`, `rollback` and `recover`.
//!
//! Every change has an operation ID. While the outcome of a change is unknown, the
//! request is repeated with the same ID, which never commits the change twice.

use {
    crate::{
        api::{Api, ApiRequest},
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

/// Maximum number of requests for one operation.
const MAX_ATTEMPTS: u32 = 5;
/// Pause before the first retry; before retry `n` it is `n` times as long.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Response to an accepted change.
#[derive(Deserialize)]
struct Accepted {
    revision: u64,
    operation_id: String,
    is_repeat: bool,
}

/// A change to send.
struct Change {
    label: String,
    method: Method,
    path: String,
    body: String,
}

/// Commits every file.
pub(crate) async fn put(matches: &ArgMatches) -> Result<()> {
    let api = Api::new(matches)?;
    let mut records = Vec::new();
    // Validate all files before committing the first.
    for file in matches.get_many::<String>("file").into_iter().flatten() {
        records.push((file, check::read(file)?));
    }
    if records.len() > 1 && matches.contains_id("operation-id") {
        bail!(
            "--operation-id: identifies one change, but {} files are given",
            records.len()
        );
    }
    // Commit services first: a route is refused until its service is in force.
    records.sort_by_key(|(_, raw)| raw.route.is_some());
    for (file, raw) in records {
        let change = Change {
            label: file.clone(),
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
    let target = RecordTarget::new(matches)?;
    let change = Change {
        label: target.label(),
        method: Method::DELETE,
        path: target.path("", &[]),
        body: String::new(),
    };
    run(&Api::new(matches)?, matches, change).await
}

/// Commits an earlier body of a record as a new revision.
pub(crate) async fn roll_back(matches: &ArgMatches) -> Result<()> {
    let target = RecordTarget::new(matches)?;
    let to: u64 = *matches.get_one("to").context("--to")?;
    let change = Change {
        label: target.label(),
        method: Method::POST,
        path: target.path("/rollback", &[format!("to_revision={to}")]),
        body: String::new(),
    };
    run(&Api::new(matches)?, matches, change).await
}

/// Commits the records that a host holds to a store that was restored to an older state.
pub(crate) async fn recover(matches: &ArgMatches) -> Result<()> {
    let change = Change {
        label: "recovery".to_owned(),
        method: Method::POST,
        path: "/v1/admin/recover".to_owned(),
        body: String::new(),
    };
    run(&Api::new(matches)?, matches, change).await
}

/// The record given on the command line.
pub(crate) struct RecordTarget {
    pub(crate) name: String,
    pub(crate) version: u32,
    kind: Option<String>,
}

impl RecordTarget {
    pub(crate) fn new(matches: &ArgMatches) -> Result<Self> {
        Ok(Self {
            name: matches.get_one::<String>("name").cloned().context("name")?,
            version: *matches.get_one("version").context("version")?,
            kind: matches.get_one::<String>("kind").cloned(),
        })
    }

    fn label(&self) -> String {
        format!("{}/{}", self.name, self.version)
    }

    pub(crate) fn path(&self, subpath: &str, query_params: &[String]) -> String {
        let kind = self.kind.as_ref().map(|kind| format!("kind={kind}"));
        let query_params: Vec<_> = query_params.iter().cloned().chain(kind).collect();
        format!(
            "/v1/admin/records/{}/{}{subpath}?{}",
            self.name,
            self.version,
            query_params.join("&")
        )
    }
}

/// Sends a change, prints the response and, with `--wait`, waits until it is in force.
async fn run(api: &Api, matches: &ArgMatches, change: Change) -> Result<()> {
    let label = change.label.clone();
    let text = send(api, matches, change)
        .await
        .with_context(|| label.clone())?;
    let accepted: Accepted = serde_json::from_str(&text).with_context(|| text.clone())?;
    if matches.get_flag("json") {
        println!("{text}");
    } else {
        let repeat_note = if accepted.is_repeat {
            " by an earlier call"
        } else {
            ""
        };
        println!(
            "{label}: accepted{repeat_note} as revision {}, operation {}",
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

/// Sends a change, with retries while its outcome is unknown.
async fn send(api: &Api, matches: &ArgMatches, change: Change) -> Result<String> {
    let operation_id = matches
        .get_one::<String>("operation-id")
        .cloned()
        .unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
    let mut request = ApiRequest {
        method: change.method,
        path: change.path,
        body: change.body,
        headers: headers(matches, &operation_id),
    };
    // Whether an earlier request may have reached a host; the header tells the host.
    let mut may_have_run = matches.contains_id("operation-id");
    for attempt in 1..=MAX_ATTEMPTS {
        if may_have_run {
            request.headers.retain(|header| *header != repeat_header());
            request.headers.push(repeat_header());
        }
        let failure = match api.send(&request).await {
            Ok(response) if response.status.is_success() => return Ok(response.text),
            Ok(response) if is_retryable(response.status) => response.error(),
            Ok(response) => return Err(response.error()),
            Err(error) => error,
        };
        let is_unsent = matches!(failure.downcast_ref(), Some(Failure::Unreachable(_)));
        if is_unsent && !may_have_run {
            return Err(failure);
        }
        may_have_run = true;
        if attempt < MAX_ATTEMPTS {
            eprintln!("{failure:#}; repeating operation {operation_id}");
            sleep(RETRY_PAUSE * attempt).await;
            continue;
        }
        let last_error = format!("{failure:#}");
        return Err(Failure::OutcomeUnknown {
            operation_id,
            last_error,
        }
        .into());
    }
    bail!("no call was made")
}

/// Returns the header that marks a request as a repeat.
fn repeat_header() -> (&'static str, String) {
    ("x-wharf-repeat", "true".to_owned())
}

/// Returns whether the outcome is unknown or a later attempt may succeed.
fn is_retryable(status: StatusCode) -> bool {
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
    let revision_flag = |name: &str| matches.try_get_one::<u64>(name).ok().flatten();
    if let Some(revision) = revision_flag("if-match") {
        headers.push(("if-match", format!("\"record-{revision}\"")));
    }
    if let Some(revision) = revision_flag("if-head") {
        headers.push(("if-match", format!("\"head-{revision}\"")));
    }
    if matches.try_get_one::<bool>("create").ok().flatten() == Some(&true) {
        headers.push(("if-none-match", "*".to_owned()));
    }
    headers
}
