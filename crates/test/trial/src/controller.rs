//! Variants of the admission gate.

use {
    crate::Service,
    admit::{AimdWindow, Bounds, FixedWindow, LeafStats, WindowControl},
    std::time::Instant,
};

/// Where queries and their calls wait for admission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateKind {
    /// At one gate for the whole query.
    Query,
    /// Per upstream server: leaf calls wait, and are dropped at their deadline.
    Leaf,
    /// At one gate for the whole query, and then per upstream server, where leaf calls
    /// wait by rank.
    Both,
}

/// Algorithm that sets the window of the gate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Controller {
    /// A constant window, given as the total over all relays.
    Fixed(usize),
    /// Additive increase and multiplicative decrease by queueing delay.
    Delay,
}

/// Window of a [`Controller`].
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

macro_rules! delegate {
    ($any:expr, $window:ident => $call:expr) => {
        match $any {
            AnyWindow::Fixed($window) => $call,
            AnyWindow::Delay($window) => $call,
        }
    };
}

impl WindowControl for AnyWindow {
    fn limit(&self) -> usize {
        delegate!(self, window => window.limit())
    }

    fn on_complete(&mut self, stats: &LeafStats, in_flight: usize, now: Instant) {
        delegate!(self, window => window.on_complete(stats, in_flight, now));
    }

    fn set_bounds(&mut self, bounds: Bounds) {
        delegate!(self, window => window.set_bounds(bounds));
    }
}
