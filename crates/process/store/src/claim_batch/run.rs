//! Executes a batch against the platform.

use {
    crate::{
        claim_batch::{Batch, BatchAnswer, BatchEvent, BatchId, BatchStep, RangeView},
        Fault, LeaseId, Platform,
    },
    kind::Error,
    std::{future::Future, time::Duration},
    tokio::time::sleep,
};

/// Upper bound of the random delay after a conflict. The delay keeps batches that
/// started at the same time from conflicting again.
const MAX_CONFLICT_DELAY_MS: u128 = 16;

/// Leases that remove claims after their retention.
pub trait LeaseProvider {
    /// Returns a lease that lasts at least `retention`.
    fn lease(&self, retention: Duration) -> impl Future<Output = Result<LeaseId, Fault>> + Send;
}

/// The result of a batch.
#[derive(Clone, Debug)]
pub struct BatchResult {
    /// One answer for each operation.
    pub answers: Vec<BatchAnswer>,
    /// The updated view of the range.
    pub view: RangeView,
    /// Number of writes that failed with a conflict.
    pub conflicts: u32,
}

/// Executes the steps of a batch until it ends.
pub async fn run_batch<P, L>(platform: &P, leases: &L, mut batch: Batch) -> BatchResult
where
    P: Platform,
    L: LeaseProvider + Sync,
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
                    // The write was not sent, because it needs the lease.
                    Err(fault) => Err(not_written(fault)),
                };
                if written == Err(Fault::Conflict) {
                    conflicts += 1;
                    sleep(conflict_delay(batch.id, conflicts)).await;
                }
                BatchEvent::Written(written)
            }
            BatchStep::Done(answers) => {
                return BatchResult {
                    answers,
                    view: batch.into_view(),
                    conflicts,
                }
            }
        };
        step = batch.on_event(event);
    }
}

fn not_written(fault: Fault) -> Fault {
    Fault::Unreachable(Error::from(fault).detail().to_owned())
}

fn conflict_delay(id: BatchId, conflicts: u32) -> Duration {
    let random = id.rotate_right(8 * conflicts) % MAX_CONFLICT_DELAY_MS;
    Duration::from_millis(u64::try_from(random).unwrap_or_default())
}
