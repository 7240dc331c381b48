//! Carrying a batch out against the platform.

use {
    crate::{
        claim_batch::{Batch, BatchAnswer, BatchEvent, BatchId, BatchStep, RangeView},
        Fault, LeaseId, Platform,
    },
    kind::Error,
    std::{future::Future, time::Duration},
    tokio::time::sleep,
};

/// Longest pause after a conflict; rivals that start together must not stay together.
const MAX_CONFLICT_PAUSE_MS: u128 = 16;

/// Leases that remove claims after their retention.
pub trait Leases {
    /// Returns a lease that outlives `retention`.
    fn lease(&self, retention: Duration) -> impl Future<Output = Result<LeaseId, Fault>> + Send;
}

/// A batch that has ended.
#[derive(Clone, Debug)]
pub struct BatchEnd {
    /// One answer for each part.
    pub answers: Vec<BatchAnswer>,
    /// What the host knows of the range now.
    pub view: RangeView,
    /// Number of writes that met a conflict.
    pub conflicts: u32,
}

/// Carries a batch out.
pub async fn run_batch<P, L>(platform: &P, leases: &L, mut batch: Batch) -> BatchEnd
where
    P: Platform,
    L: Leases + Sync,
{
    let mut conflicts = 0;
    let mut step = batch.start();
    loop {
        let event = match step {
            BatchStep::Read { key } => BatchEvent::Read(platform.get(&key).await),
            BatchStep::Write {
                key,
                expected,
                bytes,
                retention,
            } => {
                let written = match leases.lease(retention).await {
                    Ok(id) => platform.put_leased(&key, expected, bytes, Some(id)).await,
                    // Nothing was written without the lease.
                    Err(fault) => Err(unwritten(fault)),
                };
                if written == Err(Fault::Conflict) {
                    conflicts += 1;
                    sleep(conflict_pause(batch.id, conflicts)).await;
                }
                BatchEvent::Written(written)
            }
            BatchStep::Done(answers) => {
                return BatchEnd {
                    answers,
                    view: batch.into_view(),
                    conflicts,
                }
            }
        };
        step = batch.on_event(event);
    }
}

fn unwritten(fault: Fault) -> Fault {
    Fault::Unreachable(Error::from(fault).detail().to_owned())
}

fn conflict_pause(id: BatchId, conflicts: u32) -> Duration {
    let random = id.rotate_right(8 * conflicts) % MAX_CONFLICT_PAUSE_MS;
    Duration::from_millis(u64::try_from(random).unwrap_or_default())
}
