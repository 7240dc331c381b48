//! Requests that run at most once.
//!
//! Nothing of such a request is dispatched before its idempotency key is
//! claimed in the platform's store, see `store::Claiming`. From the claim on
//! the request runs in a task of its own, so that a caller who goes away does
//! not leave a claim behind whose outcome nobody records.

use {
    crate::{life::InFlight, shared::Shared},
    kind::{Error, Kind, Ran, Result},
    parking_lot::Mutex,
    record::Route,
    std::{
        collections::HashMap,
        future::Future,
        sync::Arc,
        time::{Duration, Instant},
    },
    store::{
        claim, record_outcome, ClaimScope, Claimed, Claiming, Fingerprint, LeaseId, Outcome,
        Platform, Won, MAX_KEPT_ANSWER_BYTES,
    },
    tokio::{
        pin, spawn,
        sync::oneshot,
        time::{timeout_at, Instant as TokioInstant},
    },
};

/// Time for which claims share one lease.
const LEASE_SHARING: Duration = Duration::from_secs(600);

/// Leases that remove claims after their retention.
#[derive(Default)]
pub(crate) struct Claims(Mutex<HashMap<Duration, SharedLease>>);

#[derive(Clone, Copy)]
struct SharedLease {
    id: LeaseId,
    until: Instant,
}

/// A request that runs at most once.
pub(crate) struct OnceRequest {
    pub(crate) route: Arc<Route>,
    pub(crate) scope: ClaimScope,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) deadline: Instant,
    pub(crate) _in_flight: InFlight,
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

impl Claims {
    /// Returns a lease that outlives `retention`.
    async fn lease(&self, shared: &Shared, retention: Duration) -> Result<LeaseId> {
        let now = Instant::now();
        if let Some(lease) = self.0.lock().get(&retention).copied() {
            if lease.until > now {
                return Ok(lease.id);
            }
        }
        let granted = shared.platform.grant_lease(retention + LEASE_SHARING).await;
        let id = granted.map_err(|fault| {
            let detail = Error::from(fault).detail().to_owned();
            Error::new(Kind::StoreDown, detail).with_ran(Ran::No)
        })?;
        let until = now + LEASE_SHARING;
        self.0.lock().insert(retention, SharedLease { id, until });
        Ok(id)
    }
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
        match take(&shared, &request).await {
            Ok((Claimed::Won(won), lease_id)) => {
                let result = dispatch.await;
                let outcome = outcome_of(&result);
                let recording = record(&shared, &request, lease_id, won, outcome);
                pin!(recording);
                let deadline = TokioInstant::from_std(request.deadline);
                let is_recorded = timeout_at(deadline, &mut recording).await.is_ok();
                // A caller who has gone away needs no answer.
                let _ = sender.send(result.map(Once::Ran));
                if !is_recorded {
                    recording.await;
                }
            }
            Ok((Claimed::Finished(outcome), _)) => {
                let _ = sender.send(repeat(outcome));
            }
            Err(error) => {
                let _ = sender.send(Err(error));
            }
        }
    });
    receiver
        .await
        .unwrap_or_else(|_| Err(Error::new(Kind::Internal, "the request was given up")))
}

async fn take(shared: &Shared, request: &OnceRequest) -> Result<(Claimed, LeaseId)> {
    let claiming = async {
        let retention = request.route.claim_retention;
        let lease_id = shared.claims.lease(shared, retention).await?;
        let claiming = Claiming::new(rand::random(), request.fingerprint);
        let key = request.scope.store_key();
        let claimed = claim(&shared.platform, &key, Some(lease_id), claiming).await?;
        Ok((claimed, lease_id))
    };
    let deadline = TokioInstant::from_std(request.deadline);
    let result = timeout_at(deadline, claiming).await.unwrap_or_else(|_| {
        let detail = "the key could not be claimed before the deadline";
        Err(Error::new(Kind::StoreUnknown, detail).with_ran(Ran::No))
    });
    let event = match &result {
        Ok((Claimed::Won(_), _)) => "won",
        Ok((Claimed::Finished(_), _)) => "finished",
        Err(error) => error.kind().answer().name,
    };
    shared.metrics.on_event("claims", event);
    result
}

async fn record(
    shared: &Shared,
    request: &OnceRequest,
    lease_id: LeaseId,
    won: Won,
    outcome: Outcome,
) {
    let key = request.scope.store_key();
    let recorded = record_outcome(&shared.platform, &key, Some(lease_id), won, outcome).await;
    if let Err(error) = recorded {
        shared.metrics.on_event("claims", "outcome-lost");
        log::warn!(target: "claims", "Outcome not recorded, repeats get 'unknown': {error}.");
    }
}

fn outcome_of<T: Keepable>(result: &Result<T>) -> Outcome {
    match result {
        Ok(done) => Outcome {
            ran: done.ran(),
            answer: Some(done.text()).filter(|text| text.len() <= MAX_KEPT_ANSWER_BYTES),
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
