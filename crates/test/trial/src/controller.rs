//! What a trial varies at the gate.

use {
    crate::Service,
    admit::{AimdWindow, Bounds, FixedWindow, LeafStats, WindowControl},
    std::time::Instant,
};

/// Where queries wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateKind {
    /// At one gate for the whole query.
    Query,
    /// At each upstream, as leaf calls that are dropped when they get late.
    Leaf,
    /// At one gate for the whole query, and its leaf calls at each upstream by rank.
    Both,
}

/// Control of the window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Controller {
    /// A constant total over all relays.
    Fixed(usize),
    /// Additive increase, multiplicative decrease on queueing delay.
    Delay,
}

/// A window of any of the kinds.
#[derive(Clone, Copy, Debug)]
pub(crate) enum AnyWindow {
    Fixed(FixedWindow),
    Delay(AimdWindow),
}

impl Controller {
    pub(crate) fn window(self, service: &Service, relays: usize) -> AnyWindow {
        let bounds = Bounds::for_slots(service.shard_slots(), service.shards as usize, relays);
        match self {
            Self::Fixed(total) => AnyWindow::Fixed(FixedWindow::new(total.div_ceil(relays))),
            Self::Delay => AnyWindow::Delay(AimdWindow::new(bounds)),
        }
    }
}

macro_rules! each {
    ($any:expr, $window:ident => $call:expr) => {
        match $any {
            AnyWindow::Fixed($window) => $call,
            AnyWindow::Delay($window) => $call,
        }
    };
}

impl WindowControl for AnyWindow {
    fn limit(&self) -> usize {
        each!(self, window => window.limit())
    }

    fn on_complete(&mut self, stats: &LeafStats, in_flight: usize, now: Instant) {
        each!(self, window => window.on_complete(stats, in_flight, now));
    }

    fn set_bounds(&mut self, bounds: Bounds) {
        each!(self, window => window.set_bounds(bounds));
    }
}
