//! Decides how long a queue the requests of a workspace may join under overload.
//!
//! Load: callers of several workspaces compete for too few servers, in a burst or
//! because one workspace sends many times its usual. If all requests were refused
//! at the same delay, the workspace with the most requests would get most of the
//! servers. Requests of lower ranks, and of workspaces that were admitted more often
//! than their share, are refused at shorter delays, so that they give way before the
//! others wait too long.

use {
    routing::Workspace,
    std::{
        collections::HashMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time in which the weight of an admitted request falls to a third. A host sees few
/// requests a second of each workspace, and a burst lasts for seconds.
const MEMORY: Duration = Duration::from_secs(5);
/// Number of requests below which a workspace is forgotten.
const MIN_USE: f64 = 0.01;
/// Number of requests by which an observed share is drawn towards the due one, since
/// one or two requests say little.
const PRIOR_USE: f64 = 1.0;
/// Tolerance of a workspace with many times its share, and of one with none of it.
const SHARE_TOLERANCE: (f64, f64) = (0.3, 1.25);
/// Factor of the tolerance from one rank to the next lower one.
const RANK_STEP: f64 = 0.8;
/// Smallest tolerance by rank, which lets urgent requests pass the others without
/// refusing these for good.
const MIN_RANK_TOLERANCE: f64 = 0.5;

/// Requests admitted by this host for each workspace, decaying over time.
#[derive(Debug, Default)]
pub struct FairShares {
    uses: HashMap<Arc<str>, WorkspaceUse>,
}

#[derive(Clone, Copy, Debug)]
struct WorkspaceUse {
    /// Decayed number of admitted requests at `at`.
    requests: f64,
    at: Instant,
    /// What the workspace may send, in requests per second; `None` without a quota.
    rate_per_s: Option<f64>,
}

impl WorkspaceUse {
    fn at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.requests * (-age.as_secs_f64() / MEMORY.as_secs_f64()).exp()
    }
}

impl FairShares {
    /// Records that a request of `workspace` was admitted.
    pub fn on_admitted(&mut self, workspace: &Workspace, now: Instant) {
        self.uses.retain(|_, known| known.at(now) > MIN_USE);
        let known = self.uses.get(&workspace.name).map_or(0.0, |k| k.at(now));
        let added = WorkspaceUse {
            requests: known + 1.0,
            at: now,
            rate_per_s: workspace.quota.map(|quota| quota.rate_per_s),
        };
        self.uses.insert(Arc::clone(&workspace.name), added);
    }

    /// Returns the factor by which the longest delay that a request of `workspace` with
    /// `rank` may wait differs from that of a request of rank 0 and a due share.
    ///
    /// Rank 0 is the highest. Workspaces compete in proportion to what they may send;
    /// one without a quota counts like the average of those with one.
    pub fn tolerance(&self, workspace: &Workspace, rank: u32, now: Instant) -> f64 {
        let rank = i32::try_from(rank).unwrap_or(i32::MAX);
        let by_rank = RANK_STEP.powi(rank).max(MIN_RANK_TOLERANCE);
        let (lowest, highest) = SHARE_TOLERANCE;
        by_rank * (1.0 / self.relative_use(workspace, now)).clamp(lowest, highest)
    }

    /// Returns how often requests of `workspace` were admitted, relative to its due
    /// share of all that were admitted.
    fn relative_use(&self, workspace: &Workspace, now: Instant) -> f64 {
        let rates = self.uses.values().filter_map(|known| known.rate_per_s);
        let (count, sum) = rates.fold((0.0, 0.0), |(n, sum), rate| (n + 1.0, sum + rate));
        let mean_rate = if count > 0.0 { sum / count } else { 1.0 };
        let own_rate = workspace.quota.map_or(mean_rate, |quota| quota.rate_per_s);
        let (mut total_use, mut total_rate) = (0.0, 0.0);
        for known in self.uses.values() {
            total_use += known.at(now);
            total_rate += known.rate_per_s.unwrap_or(mean_rate);
        }
        let own = self.uses.get(&workspace.name);
        if own.is_none() {
            total_rate += own_rate;
        }
        let due = total_use * own_rate / total_rate;
        (own.map_or(0.0, |own| own.at(now)) + PRIOR_USE) / (due + PRIOR_USE)
    }
}
