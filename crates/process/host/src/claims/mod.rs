//! Requests that run at most once.
//!
//! Such a request is dispatched only after its idempotency key has been claimed
//! in the platform's store: under a separate key (`store::ClaimAttempt`), in the
//! shared claim log (`store::Batch`), or in both. The request then runs in its
//! own task, so that the outcome is recorded even if the caller disconnects.

mod batcher;
mod leases;
mod owner;
mod wire;

use {
    self::{batcher::Batcher, leases::SharedLeases},
    crate::{peer::Peers, shared::Shared},
    fleet::{ClaimCall, ClaimReply},
    kind::{Error, Kind, Ran, Result},
    life::InFlightGuard,
    record::{ClaimLocations, Route},
    std::{future::Future, sync::Arc, time::Instant},
    store::{
        claim, record_outcome, BatchOp, Claim, ClaimAttempt, ClaimRange, ClaimResult, ClaimScope,
        Fingerprint, HeldClaim, LeaseId, LeaseProvider, Outcome, CLAIM_RANGES,
        MAX_STORED_ANSWER_BYTES,
    },
    tokio::{
        join, pin, spawn,
        sync::oneshot,
        time::{timeout_at, Instant as TokioInstant},
    },
};

/// Maximum number of attempts to write an outcome to the claim log.
const MAX_OUTCOME_WRITES: u32 = 4;

/// The state of a host that serves claims.
#[derive(Default)]
pub(crate) struct Claims {
    leases: SharedLeases,
    batchers: [Batcher; CLAIM_RANGES as usize],
    /// Connections used for claims only, because a host of an older release
    /// closes the connection on which a claim arrives.
    peers: Peers,
}

impl Claims {
    fn batcher(&self, range: ClaimRange) -> &Batcher {
        &self.batchers[usize::from(range)]
    }
}

/// A request that runs at most once.
pub(crate) struct OnceRequest {
    pub(crate) route: Arc<Route>,
    pub(crate) locations: ClaimLocations,
    pub(crate) scope: ClaimScope,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) deadline: Instant,
    pub(crate) _in_flight: InFlightGuard,
}

/// A claim that was won by this attempt.
struct AcquiredClaim {
    claim: Claim,
    /// The separate key of the claim in the store, if it has one.
    key: Option<HeldKey>,
}

/// A key in the platform's store that was won by this attempt.
struct HeldKey {
    claim: HeldClaim,
    lease_id: LeaseId,
}

/// The result of an attempt to acquire a claim.
struct Acquisition {
    result: Result<ClaimResult<AcquiredClaim>>,
    /// Key that was won although the claim in the log was not; it must be released.
    unused_key: Option<HeldKey>,
}

/// The answer to a request that runs at most once.
pub(crate) enum OnceAnswer<T> {
    /// The request ran in this attempt.
    Ran(T),
    /// The request ran in an earlier attempt, which stored this answer.
    Repeated(String),
}

/// An answer that is recorded with the claim of its request.
pub(crate) trait RecordableAnswer {
    /// Returns the response body in JSON.
    fn to_json(&self) -> String;
    /// Returns whether the request was executed.
    fn ran(&self) -> Ran;
}

/// Claims the key of a request and runs `dispatch` if this attempt wins the claim.
///
/// # Errors
///
/// Returns the error of the claim, in which case nothing was dispatched by this
/// attempt, or the error of `dispatch`.
pub(crate) async fn run_once<T, F>(
    shared: &Arc<Shared>,
    request: OnceRequest,
    dispatch: F,
) -> Result<OnceAnswer<T>>
where
    T: RecordableAnswer + Send + 'static,
    F: Future<Output = Result<T>> + Send + 'static,
{
    let (sender, receiver) = oneshot::channel();
    let shared = Arc::clone(shared);
    spawn(async move {
        let Acquisition { result, unused_key } = acquire(&shared, &request).await;
        match result {
            Ok(ClaimResult::Held(held)) => {
                let result = dispatch.await;
                let outcome = outcome_of(&result);
                let recording = record_everywhere(&shared, &request, held, outcome);
                pin!(recording);
                let deadline = TokioInstant::from_std(request.deadline);
                let is_recorded = timeout_at(deadline, &mut recording).await.is_ok();
                // The send fails only if the caller has disconnected.
                let _ = sender.send(result.map(OnceAnswer::Ran));
                if !is_recorded {
                    recording.await;
                }
            }
            Ok(ClaimResult::Finished(outcome)) => {
                let _ = sender.send(stored_answer(outcome));
            }
            Err(error) => {
                let _ = sender.send(Err(error));
            }
        }
        if let Some(key) = unused_key {
            release(&shared, &request, key).await;
        }
    });
    receiver.await.unwrap_or_else(|_| {
        Err(Error::new(
            Kind::Internal,
            "the task of the request ended without an answer",
        ))
    })
}

/// Writes a claim or an outcome on behalf of a peer.
///
/// # Errors
///
/// Returns the error of the claim, or [`Kind::BadPeer`] if the call is malformed.
pub(crate) async fn handle_peer_claim(shared: &Arc<Shared>, call: ClaimCall) -> Result<ClaimReply> {
    let op = wire::op_of(call)?;
    batcher::write(shared, op).await.map(wire::reply_of)
}

async fn acquire(shared: &Arc<Shared>, request: &OnceRequest) -> Acquisition {
    let claim = Claim::new(rand::random(), request.fingerprint);
    let mut key = None;
    if request.locations.uses_keys() {
        match until_deadline(request, acquire_key(shared, request, &claim)).await {
            Ok(ClaimResult::Held(held)) => key = Some(held),
            Ok(ClaimResult::Finished(outcome)) => {
                return count_acquisition(shared, Ok(ClaimResult::Finished(outcome)), None)
            }
            Err(error) => return count_acquisition(shared, Err(error), None),
        }
    }
    if !request.locations.uses_log() {
        return count_acquisition(
            shared,
            Ok(ClaimResult::Held(AcquiredClaim { claim, key })),
            None,
        );
    }
    let op = request.op(claim.clone());
    match until_deadline(request, owner::write(shared, op, request.deadline)).await {
        Ok(ClaimResult::Held(())) => count_acquisition(
            shared,
            Ok(ClaimResult::Held(AcquiredClaim { claim, key })),
            None,
        ),
        Ok(ClaimResult::Finished(outcome)) => {
            count_acquisition(shared, Ok(ClaimResult::Finished(outcome)), key)
        }
        Err(error) => count_acquisition(shared, Err(error), key),
    }
}

impl OnceRequest {
    fn op(&self, claim: Claim) -> BatchOp {
        BatchOp {
            scope_hash: self.scope.hash(),
            retention: self.route.claim_retention,
            claim,
        }
    }
}

async fn until_deadline<T>(
    request: &OnceRequest,
    attempt: impl Future<Output = Result<T>>,
) -> Result<T> {
    let deadline = TokioInstant::from_std(request.deadline);
    timeout_at(deadline, attempt).await.unwrap_or_else(|_| {
        let detail = "the key could not be claimed before the deadline";
        Err(Error::new(Kind::StoreUnknown, detail).with_ran(Ran::No))
    })
}

async fn acquire_key(
    shared: &Shared,
    request: &OnceRequest,
    wanted: &Claim,
) -> Result<ClaimResult<HeldKey>> {
    let lease_id = shared.lease(request.route.claim_retention).await;
    let lease_id = lease_id.map_err(|fault| {
        let detail = Error::from(fault).detail().to_owned();
        Error::new(Kind::StoreDown, detail).with_ran(Ran::No)
    })?;
    let attempt = ClaimAttempt::from(wanted.clone());
    let key = request.scope.store_key();
    let claimed = claim(&shared.platform, &key, Some(lease_id), attempt).await?;
    Ok(match claimed {
        ClaimResult::Held(claim) => ClaimResult::Held(HeldKey { claim, lease_id }),
        ClaimResult::Finished(outcome) => ClaimResult::Finished(outcome),
    })
}

fn count_acquisition(
    shared: &Shared,
    result: Result<ClaimResult<AcquiredClaim>>,
    unused_key: Option<HeldKey>,
) -> Acquisition {
    let event = match &result {
        Ok(ClaimResult::Held(_)) => "won",
        Ok(ClaimResult::Finished(_)) => "finished",
        Err(error) => error.kind().answer().name,
    };
    shared.metrics.on_event("claims", event);
    Acquisition { result, unused_key }
}

/// Records the outcome of a request in its key and in the log, as far as it is claimed there.
async fn record_everywhere(
    shared: &Arc<Shared>,
    request: &OnceRequest,
    held: AcquiredClaim,
    outcome: Outcome,
) {
    let AcquiredClaim { claim, key } = held;
    let in_key = async {
        match key {
            Some(key) => record_in_key(shared, request, key, outcome.clone()).await,
            None => Ok(()),
        }
    };
    let in_log = async {
        match request.locations.uses_log() {
            true => record_in_log(shared, request, claim.with_outcome(outcome.clone())).await,
            false => Ok(()),
        }
    };
    let (in_key, in_log) = join!(in_key, in_log);
    if let Err(error) = in_key.and(in_log) {
        shared.metrics.on_event("claims", "outcome-lost");
        log::warn!(
            target: "claims",
            "Outcome not recorded, repeated requests will get 'unknown': {error}."
        );
    }
}

async fn record_in_key(
    shared: &Shared,
    request: &OnceRequest,
    key: HeldKey,
    outcome: Outcome,
) -> Result<()> {
    let store_key = request.scope.store_key();
    let HeldKey { claim, lease_id } = key;
    record_outcome(&shared.platform, &store_key, Some(lease_id), claim, outcome).await
}

async fn record_in_log(shared: &Arc<Shared>, request: &OnceRequest, claim: Claim) -> Result<()> {
    let op = request.op(claim);
    let mut written = owner::write(shared, op.clone(), request.deadline).await;
    for _ in 1..MAX_OUTCOME_WRITES {
        if written.is_ok() {
            break;
        }
        written = owner::write(shared, op.clone(), request.deadline).await;
    }
    written.map(|_| ())
}

/// Releases the key for the next attempt, since this one dispatched nothing.
async fn release(shared: &Shared, request: &OnceRequest, key: HeldKey) {
    let outcome = Outcome {
        ran: Ran::No,
        answer: None,
        failure: None,
    };
    if let Err(error) = record_in_key(shared, request, key, outcome).await {
        shared.metrics.on_event("claims", "outcome-lost");
        log::warn!(
            target: "claims",
            "Key not released, repeated requests will get 'unknown': {error}."
        );
    }
}

fn outcome_of<T: RecordableAnswer>(result: &Result<T>) -> Outcome {
    match result {
        Ok(done) => Outcome {
            ran: done.ran(),
            answer: Some(done.to_json()).filter(|json| json.len() <= MAX_STORED_ANSWER_BYTES),
            failure: None,
        },
        Err(error) => Outcome {
            ran: error.ran(),
            answer: None,
            failure: Some(error.kind().answer().name.to_owned()),
        },
    }
}

fn stored_answer<T>(outcome: Outcome) -> Result<OnceAnswer<T>> {
    if let Some(answer) = outcome.answer {
        return Ok(OnceAnswer::Repeated(answer));
    }
    let detail = match &outcome.failure {
        Some(failure) => format!("the first attempt ended with '{failure}'"),
        None => "the first attempt succeeded, but its answer was too large to store".to_owned(),
    };
    Err(Error::new(Kind::AlreadyClaimed, detail).with_ran(outcome.ran))
}
