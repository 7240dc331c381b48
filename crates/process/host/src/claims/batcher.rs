//! Collects the claims of a range into batches and writes one batch at a time.
//!
//! A batch contains the claims that arrived while the previous batch was being
//! written. A minimum interval between the starts of two batches bounds the
//! write rate of a range for any number of claims. A claim for an idle range is
//! written at once.

use {
    crate::{claims::owner, shared::Shared},
    kind::{Error, Kind, Ran},
    parking_lot::Mutex,
    std::{
        collections::VecDeque,
        mem,
        sync::Arc,
        time::{Duration, Instant},
    },
    store::{
        claim_range, run_batch, Batch, BatchAnswer, BatchOp, BatchResult, ClaimRange, RangeView,
        StoreEra,
    },
    tokio::{
        spawn,
        sync::oneshot,
        time::{sleep_until, Instant as TokioInstant},
    },
};

/// Minimum time between the starts of two batches of the same range.
const MIN_BATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of sealed generations that a host reads for a range it does
/// not own. Without the limit, all hosts would read the log at once while the
/// fleet has no agreed owner.
const MAX_UNREAD_GENERATIONS: usize = 32;
/// Maximum number of operations in a batch.
const MAX_BATCH_OPS: usize = 512;
/// Total size of the stored answers at which a batch is closed, in bytes. The
/// answers still fit into a value of the store after JSON escaping.
const MAX_BATCH_ANSWER_BYTES: usize = 256 * 1024;

/// A claim or an outcome that waits to be written.
struct PendingOp {
    op: BatchOp,
    reply: oneshot::Sender<BatchAnswer>,
}

/// Pending operations of a range, and this host's view of its log.
#[derive(Default)]
pub(crate) struct Batcher(Mutex<State>);

#[derive(Default)]
struct State {
    pending: VecDeque<PendingOp>,
    view: RangeView,
    /// Era of the store in which the batch began that left the view.
    view_era: Option<StoreEra>,
    is_writer_running: bool,
    next_at: Option<Instant>,
}

impl Batcher {
    /// Adds an operation to the next batch.
    ///
    /// Returns whether the caller must start the writer task.
    fn push(&self, pending: PendingOp) -> bool {
        let mut state = self.0.lock();
        state.pending.push_back(pending);
        !mem::replace(&mut state.is_writer_running, true)
    }

    /// Takes the operations of the next batch and the view of the range in `era`.
    ///
    /// A view of an earlier era is dropped: another value may have its revision now, and a
    /// conditional write would replace claims that this host has not read. Returns `None`, and marks the writer as stopped, if nothing is pending.
    fn take_batch(&self, era: Option<StoreEra>) -> Option<(Vec<PendingOp>, RangeView)> {
        let mut state = self.0.lock();
        let mut taken = Vec::new();
        let mut answer_bytes = 0;
        while taken.len() < MAX_BATCH_OPS && answer_bytes < MAX_BATCH_ANSWER_BYTES {
            let Some(next) = state.pending.pop_front() else {
                break;
            };
            // Its requester has stopped waiting: it has dispatched nothing, or
            // writes the operation itself.
            if next.reply.is_closed() {
                continue;
            }
            let outcome = next.op.claim.outcome();
            let answer = outcome.and_then(|outcome| outcome.answer.as_ref());
            answer_bytes += answer.map_or(0, String::len);
            taken.push(next);
        }
        if taken.is_empty() {
            state.is_writer_running = false;
            return None;
        }
        state.next_at = Some(Instant::now() + MIN_BATCH_INTERVAL);
        let view = mem::take(&mut state.view);
        let is_current = state.view_era == era;
        Some((
            taken,
            if is_current {
                view
            } else {
                RangeView::default()
            },
        ))
    }

    fn restore_view(&self, view: RangeView, era: Option<StoreEra>) {
        let mut state = self.0.lock();
        state.view = view;
        state.view_era = era;
    }

    async fn wait_for_interval(&self) {
        let next_at = self.0.lock().next_at;
        if let Some(next_at) = next_at {
            sleep_until(TokioInstant::from_std(next_at)).await;
        }
    }
}

/// Writes a claim or an outcome with this host's next batch of its range.
pub(crate) async fn write(shared: &Arc<Shared>, op: BatchOp) -> BatchAnswer {
    let range = claim_range(op.scope_hash);
    let (reply, answer) = oneshot::channel();
    if shared.claims.batcher(range).push(PendingOp { op, reply }) {
        spawn(write_batches(Arc::clone(shared), range));
    }
    answer.await.unwrap_or_else(|_| {
        let error = Error::new(Kind::Internal, "the batch ended without an answer");
        Err(error.with_ran(Ran::No))
    })
}

/// Writes batches until nothing is pending.
async fn write_batches(shared: Arc<Shared>, range: ClaimRange) {
    let batcher = shared.claims.batcher(range);
    loop {
        batcher.wait_for_interval().await;
        let era = shared.platform.eras().current();
        let Some((taken, view)) = batcher.take_batch(era) else {
            return;
        };
        let (ops, replies): (Vec<_>, Vec<_>) = taken
            .into_iter()
            .map(|pending| (pending.op, pending.reply))
            .unzip();
        let mut batch = Batch::new(range, rand::random(), view, ops);
        if !owner::is_owner(&shared, range) {
            batch = batch.with_max_missing(MAX_UNREAD_GENERATIONS);
        }
        let end = run_batch(&shared.platform, shared.as_ref(), batch).await;
        let BatchResult {
            answers,
            view,
            conflicts,
        } = end;
        batcher.restore_view(view, era);
        shared.metrics.on_event("claims", "batch");
        for _ in 0..conflicts {
            shared.metrics.on_event("claims", "batch-conflict");
        }
        for (reply, answer) in replies.into_iter().zip(answers) {
            // The send fails only if the requester has stopped waiting.
            let _ = reply.send(answer);
        }
    }
}
