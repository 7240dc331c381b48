//! Requests that run at most once.
//!
//! Nothing of such a request is dispatched before its idempotency key is
//! claimed in the platform's store: by a key of its own (`store::ClaimAttempt`), in
//! the claim log that many share (`store::Batch`), or both. From the claim on
//! the request runs in a task of its own, so that a caller who goes away does
//! not leave a claim behind whose outcome nobody records.

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

/// Most writes of an outcome to the claim log.
const MAX_OUTCOME_WRITES: u32 = 4;

/// What a host keeps for claims.
#[derive(Default)]
pub(crate) struct Claims {
    leases: SharedLeases,
    batchers: [Batcher; CLAIM_RANGES as usize],
    /// Connections for claims alone, since a former release closes them.
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
    pub(crate) places: ClaimLocations,
    pub(crate) scope: ClaimScope,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) deadline: Instant,
    pub(crate) _in_flight: InFlightGuard,
}

/// A claim that this attempt holds.
struct Held {
    claim: Claim,
    /// What is held of the claim's own key, if it has one.
    key: Option<HeldKey>,
}

/// A key in the platform's store that this attempt holds.
struct HeldKey {
    won: HeldClaim,
    lease_id: LeaseId,
}

/// How an attempt to claim ended.
struct Taken {
    result: Result<ClaimResult<Held>>,
    /// Key that is held for nothing, because the log did not follow.
    abandoned: Option<HeldKey>,
}

/// How a request that runs at most once ended well.
pub(crate) enum Once<T> {
    /// It ran now.
    Ran(T),
    /// It had run before, with this answer.
    Repeated(String),
}

/// What a finished request leaves with its claim.
pub(crate) trait Keepable {
    /// Returns the answer as the caller gets it.
    fn text(&self) -> String;
    /// Returns whether the request was executed.
    fn ran(&self) -> Ran;
}

/// Claims the key of a request and runs `dispatch` if this attempt holds the claim.
///
/// # Errors
///
/// Returns the errors of the claim, which tell that this attempt dispatched
/// nothing, or the error of `dispatch`.
pub(crate) async fn run_once<T, F>(
    shared: &Arc<Shared>,
    request: OnceRequest,
    dispatch: F,
) -> Result<Once<T>>
where
    T: Keepable + Send + 'static,
    F: Future<Output = Result<T>> + Send + 'static,
{
    let (sender, receiver) = oneshot::channel();
    let shared = Arc::clone(shared);
    spawn(async move {
        let Taken { result, abandoned } = take(&shared, &request).await;
        match result {
            Ok(ClaimResult::Held(held)) => {
                let result = dispatch.await;
                let outcome = outcome_of(&result);
                let recording = record(&shared, &request, held, outcome);
                pin!(recording);
                let deadline = TokioInstant::from_std(request.deadline);
                let is_recorded = timeout_at(deadline, &mut recording).await.is_ok();
                // A caller who has gone away needs no answer.
                let _ = sender.send(result.map(Once::Ran));
                if !is_recorded {
                    recording.await;
                }
            }
            Ok(ClaimResult::Finished(outcome)) => {
                let _ = sender.send(repeat(outcome));
            }
            Err(error) => {
                let _ = sender.send(Err(error));
            }
        }
        if let Some(key) = abandoned {
            release(&shared, &request, key).await;
        }
    });
    receiver
        .await
        .unwrap_or_else(|_| Err(Error::new(Kind::Internal, "the request was given up")))
}

/// Writes a claim or an outcome that a peer has sent.
///
/// # Errors
///
/// Returns the errors of a claim, or [`Kind::BadPeer`].
pub(crate) async fn write_for_peer(shared: &Arc<Shared>, call: ClaimCall) -> Result<ClaimReply> {
    let op = wire::op_of(call)?;
    batcher::write(shared, op).await.map(wire::reply_of)
}

async fn take(shared: &Arc<Shared>, request: &OnceRequest) -> Taken {
    let claim = Claim::new(rand::random(), request.fingerprint);
    let mut key = None;
    if request.places.uses_keys() {
        match until_deadline(request, take_key(shared, request, &claim)).await {
            Ok(ClaimResult::Held(won)) => key = Some(won),
            Ok(ClaimResult::Finished(outcome)) => {
                return taken(shared, Ok(ClaimResult::Finished(outcome)), None)
            }
            Err(error) => return taken(shared, Err(error), None),
        }
    }
    if !request.places.uses_log() {
        return taken(shared, Ok(ClaimResult::Held(Held { claim, key })), None);
    }
    let op = request.op(claim.clone());
    match until_deadline(request, owner::write(shared, op, request.deadline)).await {
        Ok(ClaimResult::Held(())) => {
            taken(shared, Ok(ClaimResult::Held(Held { claim, key })), None)
        }
        Ok(ClaimResult::Finished(outcome)) => {
            taken(shared, Ok(ClaimResult::Finished(outcome)), key)
        }
        Err(error) => taken(shared, Err(error), key),
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
    claiming: impl Future<Output = Result<T>>,
) -> Result<T> {
    let deadline = TokioInstant::from_std(request.deadline);
    timeout_at(deadline, claiming).await.unwrap_or_else(|_| {
        let detail = "the key could not be claimed before the deadline";
        Err(Error::new(Kind::StoreUnknown, detail).with_ran(Ran::No))
    })
}

async fn take_key(
    shared: &Shared,
    request: &OnceRequest,
    wanted: &Claim,
) -> Result<ClaimResult<HeldKey>> {
    let lease_id = shared.lease(request.route.claim_retention).await;
    let lease_id = lease_id.map_err(|fault| {
        let detail = Error::from(fault).detail().to_owned();
        Error::new(Kind::StoreDown, detail).with_ran(Ran::No)
    })?;
    let claiming = ClaimAttempt::from(wanted.clone());
    let key = request.scope.store_key();
    let claimed = claim(&shared.platform, &key, Some(lease_id), claiming).await?;
    Ok(match claimed {
        ClaimResult::Held(won) => ClaimResult::Held(HeldKey { won, lease_id }),
        ClaimResult::Finished(outcome) => ClaimResult::Finished(outcome),
    })
}

fn taken(shared: &Shared, result: Result<ClaimResult<Held>>, abandoned: Option<HeldKey>) -> Taken {
    let event = match &result {
        Ok(ClaimResult::Held(_)) => "won",
        Ok(ClaimResult::Finished(_)) => "finished",
        Err(error) => error.kind().answer().name,
    };
    shared.metrics.on_event("claims", event);
    Taken { result, abandoned }
}

/// Records how the request of a held claim ended, wherever the claim stands.
async fn record(shared: &Arc<Shared>, request: &OnceRequest, held: Held, outcome: Outcome) {
    let Held { claim, key } = held;
    let in_key = async {
        match key {
            Some(key) => record_in_key(shared, request, key, outcome.clone()).await,
            None => Ok(()),
        }
    };
    let in_log = async {
        match request.places.uses_log() {
            true => record_in_log(shared, request, claim.with_outcome(outcome.clone())).await,
            false => Ok(()),
        }
    };
    let (in_key, in_log) = join!(in_key, in_log);
    if let Err(error) = in_key.and(in_log) {
        shared.metrics.on_event("claims", "outcome-lost");
        log::warn!(target: "claims", "Outcome not recorded, repeats get 'unknown': {error}.");
    }
}

async fn record_in_key(
    shared: &Shared,
    request: &OnceRequest,
    key: HeldKey,
    outcome: Outcome,
) -> Result<()> {
    let store_key = request.scope.store_key();
    let HeldKey { won, lease_id } = key;
    record_outcome(&shared.platform, &store_key, Some(lease_id), won, outcome).await
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

/// Leaves the key to the next attempt, since this one has dispatched nothing.
async fn release(shared: &Shared, request: &OnceRequest, key: HeldKey) {
    let outcome = Outcome {
        ran: Ran::No,
        answer: None,
        failure: None,
    };
    if let Err(error) = record_in_key(shared, request, key, outcome).await {
        shared.metrics.on_event("claims", "outcome-lost");
        log::warn!(target: "claims", "Key not released, repeats get 'unknown': {error}.");
    }
}

fn outcome_of<T: Keepable>(result: &Result<T>) -> Outcome {
    match result {
        Ok(done) => Outcome {
            ran: done.ran(),
            answer: Some(done.text()).filter(|text| text.len() <= MAX_STORED_ANSWER_BYTES),
            failure: None,
        },
        Err(error) => Outcome {
            ran: error.ran(),
            answer: None,
            failure: Some(error.kind().answer().name.to_owned()),
        },
    }
}

fn repeat<T>(outcome: Outcome) -> Result<Once<T>> {
    if let Some(answer) = outcome.answer {
        return Ok(Once::Repeated(answer));
    }
    let detail = match &outcome.failure {
        Some(failure) => format!("the first attempt ended with '{failure}'"),
        None => "the first attempt succeeded, its answer was too large to keep".to_owned(),
    };
    Err(Error::new(Kind::AlreadyClaimed, detail).with_ran(outcome.ran))
}
