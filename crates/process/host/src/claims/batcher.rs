//! Gathers claims of a range into batches and has them written one by one.
//!
//! A batch takes whatever has come while its predecessor was under way. Two
//! batches begin a while apart, which bounds the writes of a range at any
//! number of claims; a claim that finds the range at rest does not wait.

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
    },
    tokio::{
        spawn,
        sync::oneshot,
        time::{sleep_until, Instant as TokioInstant},
    },
};

/// Time from the start of a batch to the start of the next one of its range.
const BATCH_PACE: Duration = Duration::from_millis(20);
/// Most sealed generations that a host reads which is not the owner of their
/// range; a fleet that waits for a new owner must not read the log all at once.
const MAX_LACKING: usize = 32;
/// Most parts of one batch.
const MAX_BATCH_OPS: usize = 512;
/// Size of the answers of one batch from which on it takes no more, in bytes;
/// escaped they still fit into a value of the store.
const MAX_BATCH_ANSWER_BYTES: usize = 256 * 1024;

/// A claim or an outcome that waits for its batch.
struct Waiting {
    op: BatchOp,
    reply: oneshot::Sender<BatchAnswer>,
}

/// What waits for a range, and what this host knows of it.
#[derive(Default)]
pub(crate) struct Batcher(Mutex<State>);

#[derive(Default)]
struct State {
    waiting: VecDeque<Waiting>,
    view: RangeView,
    is_running: bool,
    next_at: Option<Instant>,
}

impl Batcher {
    /// Adds a part of the next batch; returns whether nobody writes batches yet.
    fn push(&self, waiting: Waiting) -> bool {
        let mut state = self.0.lock();
        state.waiting.push_back(waiting);
        !mem::replace(&mut state.is_running, true)
    }

    /// Takes the parts of a batch with the view of the range, or ends the writing.
    fn take(&self) -> Option<(Vec<Waiting>, RangeView)> {
        let mut state = self.0.lock();
        let mut taken = Vec::new();
        let mut answer_bytes = 0;
        while taken.len() < MAX_BATCH_OPS && answer_bytes < MAX_BATCH_ANSWER_BYTES {
            let Some(next) = state.waiting.pop_front() else {
                break;
            };
            // Whoever has gone away has dispatched nothing, or settles it alone.
            if next.reply.is_closed() {
                continue;
            }
            let outcome = next.op.claim.outcome();
            let answer = outcome.and_then(|outcome| outcome.answer.as_ref());
            answer_bytes += answer.map_or(0, String::len);
            taken.push(next);
        }
        if taken.is_empty() {
            state.is_running = false;
            return None;
        }
        state.next_at = Some(Instant::now() + BATCH_PACE);
        Some((taken, mem::take(&mut state.view)))
    }

    fn put_back(&self, view: RangeView) {
        self.0.lock().view = view;
    }

    async fn pace(&self) {
        let next_at = self.0.lock().next_at;
        if let Some(next_at) = next_at {
            sleep_until(TokioInstant::from_std(next_at)).await;
        }
    }
}

/// Has this host write a claim or an outcome with the next batch of its range.
pub(crate) async fn write(shared: &Arc<Shared>, op: BatchOp) -> BatchAnswer {
    let range = claim_range(op.scope_hash);
    let (reply, answer) = oneshot::channel();
    if shared.claims.batcher(range).push(Waiting { op, reply }) {
        spawn(write_batches(Arc::clone(shared), range));
    }
    answer.await.unwrap_or_else(|_| {
        let error = Error::new(Kind::Internal, "the batch was given up");
        Err(error.with_ran(Ran::No))
    })
}

/// Writes batches until nothing waits.
async fn write_batches(shared: Arc<Shared>, range: ClaimRange) {
    let batcher = shared.claims.batcher(range);
    loop {
        batcher.pace().await;
        let Some((taken, view)) = batcher.take() else {
            return;
        };
        let (ops, replies): (Vec<_>, Vec<_>) = taken.into_iter().map(|w| (w.op, w.reply)).unzip();
        let mut batch = Batch::new(range, rand::random(), view, ops);
        if !owner::is_owner(&shared, range) {
            batch = batch.with_max_missing(MAX_LACKING);
        }
        let end = run_batch(&shared.platform, shared.as_ref(), batch).await;
        let BatchResult {
            answers,
            view,
            conflicts,
        } = end;
        batcher.put_back(view);
        shared.metrics.on_event("claims", "batch");
        for _ in 0..conflicts {
            shared.metrics.on_event("claims", "batch-conflict");
        }
        for (reply, answer) in replies.into_iter().zip(answers) {
            // Whoever has gone away needs no answer.
            let _ = reply.send(answer);
        }
    }
}
