//! Reports of requests that end servers, which hosts make to each other.
//!
//! A host keeps what it has seen itself and reports all of it to the hosts that count
//! the request: the first [`COUNTERS`] by rank that take the report. It reports again
//! when the hosts change, so that the counts outlive the loss of any counting host.
//! Every host merges reports by the same rule, and each of them may begin a hold.

use {
    crate::{
        crashes::hold_state,
        hold_store::{spawn_publication, HoldRecord},
        peer::{self, CrashReport},
        shared::Shared,
        Adapter,
    },
    fleet::Member,
    futures::future::join_all,
    link::{owner_weight, CrashEvidence, Fingerprint, Verdict},
    log::Level,
    record::HostId,
    std::{
        cmp::Reverse,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{task::spawn_local, time::sleep},
};

/// Time for which another server may still answer a request before the loss of
/// one is reported.
const REPORT_DELAY: Duration = Duration::from_millis(250);
/// Time for which further reports of the same moment may arrive before what is counted
/// is judged.
const JUDGE_DELAY: Duration = Duration::from_millis(150);
/// Longest time for which a report waits for its answer, [`JUDGE_DELAY`] included.
const REPORT_TIMEOUT: Duration = Duration::from_millis(650);
/// Number of hosts that count the crashes of a request. With hosts spread over zones at
/// random, the loss of a region of three takes all of them in one of 6,561 cases.
const COUNTERS: usize = 8;
/// Number of hosts, the first by rank, whose log tells of each report.
const LOGGING_COUNTERS: usize = 2;
/// Largest number of times that a report goes to further hosts since some did not
/// answer.
const MAX_ROUNDS: usize = 3;
/// Pause between checks whether the hosts have changed.
const CHANGE_CHECK_PAUSE: Duration = Duration::from_secs(1);
/// Largest number of requests that are reported again after a change. Those with the
/// latest crashes come first.
const MAX_REPEATED: usize = 64;

/// Reports the servers that a request has ended, unless other servers answer the
/// request in the meantime.
pub(crate) async fn report<A: Adapter>(shared: Rc<Shared<A>>, request: Fingerprint) {
    sleep(REPORT_DELAY).await;
    let confirmed = shared
        .crash_ledger
        .borrow_mut()
        .confirm(request, Instant::now());
    let Some(evidence) = confirmed else {
        shared.metrics.on_crash_report("answered");
        return;
    };
    spawn_local(send_to_counters(
        Rc::clone(&shared),
        request,
        evidence.clone(),
    ));
    sleep(JUDGE_DELAY).await;
    judge(&shared, request, &evidence, Level::Warn);
}

/// Counts the crashes that another host reports. Returns the hold of the request if it
/// is held back.
pub(crate) async fn on_reported<A: Adapter>(
    shared: &Rc<Shared<A>>,
    request: Fingerprint,
    evidence: &CrashEvidence,
) -> Option<HoldRecord> {
    {
        let mut crash_ledger = shared.crash_ledger.borrow_mut();
        crash_ledger.on_report(request, evidence, Instant::now());
    }
    sleep(JUDGE_DELAY).await;
    let own_id = &shared.settings.member.id;
    let counters = ranked(shared, request);
    let mut logging = counters.iter().take(LOGGING_COUNTERS);
    let level = if logging.any(|counter| counter.id == *own_id) {
        Level::Warn
    } else {
        Level::Debug
    };
    judge(shared, request, evidence, level);
    hold_state(shared, request).map(HoldRecord::from)
}

/// Judges what is counted of a request, and publishes a hold that has begun or changed.
fn judge<A: Adapter>(
    shared: &Rc<Shared<A>>,
    request: Fingerprint,
    evidence: &CrashEvidence,
    level: Level,
) {
    let mut crash_ledger = shared.crash_ledger.borrow_mut();
    let count = crash_ledger.crash_count(request, Instant::now());
    let verdict = crash_ledger.judge(request, Instant::now());
    drop(crash_ledger);
    shared.metrics.on_crash_report(verdict.as_str());
    let crashes = evidence.crashes.iter();
    let crashes = crashes.map(|crash| format!("{} of {}", crash.server, crash.service));
    let crashes = crashes.collect::<Vec<_>>().join(", ");
    log::log!(
        target: "crash",
        level,
        verdict = verdict.as_str(),
        count,
        proven = evidence.proven.len();
        "Request {request:016x} has ended {crashes}."
    );
    if verdict == Verdict::HoldBegun {
        log::warn!(target: "crash", "Request {request:016x} is held back after {count} crashes.");
    }
    if verdict.is_news() {
        spawn_publication(shared, request, |_| false);
    }
}

/// Sends a report to the hosts that count a request, and to further ones for those that
/// do not take it.
async fn send_to_counters<A: Adapter>(
    shared: Rc<Shared<A>>,
    request: Fingerprint,
    evidence: CrashEvidence,
) {
    let report = CrashReport::new(request, evidence, Instant::now());
    let own_id = &shared.settings.member.id;
    let mut ranked = ranked(&shared, request);
    let is_counter = ranked.iter().take(COUNTERS).any(|host| host.id == *own_id);
    ranked.retain(|host| host.id != *own_id);
    let mut left = COUNTERS - usize::from(is_counter);
    let mut others = ranked.into_iter();
    for _ in 0..MAX_ROUNDS {
        let next: Vec<Member> = others.by_ref().take(left).collect();
        let sent = next
            .into_iter()
            .map(|host| send_report(&shared, host, report.clone()));
        let taken = join_all(sent).await;
        left -= taken.into_iter().filter(|is_taken| *is_taken).count();
        if left == 0 {
            return;
        }
    }
}

/// Sends a report to a host, and returns whether the host has taken it.
async fn send_report<A: Adapter>(shared: &Shared<A>, host: Member, report: CrashReport) -> bool {
    let request = report.request;
    let deadline = Instant::now() + REPORT_TIMEOUT;
    match peer::report_crash(shared, host.peer_addr, report, deadline).await {
        Ok(hold) => {
            if let Some(hold) = hold {
                let mut crash_ledger = shared.crash_ledger.borrow_mut();
                crash_ledger.on_record(request, hold.into(), Instant::now());
            }
            true
        }
        Err(error) => {
            log::warn!(target: "crash", "Host {} took no report: {error}.", host.id);
            shared.metrics.on_crash_report("not-taken");
            false
        }
    }
}

/// Reports what this host has seen again whenever the listed hosts have changed.
pub(crate) async fn repeat_reports<A: Adapter>(shared: Rc<Shared<A>>) {
    let mut known: Vec<HostId> = Vec::new();
    loop {
        sleep(CHANGE_CHECK_PAUSE).await;
        let listed: Vec<HostId> = {
            let members = shared.members.borrow();
            members
                .listed()
                .map(|host| host.member.id.clone())
                .collect()
        };
        if listed == known {
            continue;
        }
        known = listed;
        let evidence = shared
            .crash_ledger
            .borrow()
            .own_evidence(MAX_REPEATED, Instant::now());
        for (request, evidence) in evidence {
            send_to_counters(Rc::clone(&shared), request, evidence).await;
        }
    }
}

/// Returns whether this host is the owner of a request, which runs its canaries and
/// keeps its hold in the store.
pub(crate) fn is_owner<A: Adapter>(shared: &Shared<A>, request: Fingerprint) -> bool {
    let members = shared.members.borrow();
    let listed = members.listed().map(|host| &host.member);
    let owner = listed.max_by_key(|member| owner_weight(request, &member.id));
    owner == Some(&shared.settings.member)
}

/// Returns the listed hosts by their rank for a request, the owner at the front.
fn ranked<A: Adapter>(shared: &Shared<A>, request: Fingerprint) -> Vec<Member> {
    let members = shared.members.borrow();
    let listed = members.listed().map(|host| &host.member);
    let mut ranked: Vec<Member> = listed.cloned().collect();
    ranked.sort_by_key(|member| Reverse(owner_weight(request, &member.id)));
    ranked
}
