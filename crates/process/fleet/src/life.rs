//! The lifecycle of a host, from start to exit.
//!
//! A graceful shutdown reports not ready, waits until the load balancer has
//! noticed, refuses new requests, finishes those in flight, notifies the peers
//! and exits, in this order. Requests still in flight when the maximum drain
//! time ends are aborted, and their callers get an error.

use statig::{blocking::StateMachine, prelude::*};

/// Phases of a host's lifecycle, in order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// No configuration is in force yet.
    Starting,
    /// The host accepts requests.
    Ready,
    /// The host reports not ready but still accepts requests, until the load
    /// balancer has noticed.
    Leaving,
    /// The host refuses new requests and finishes those in flight.
    Finishing,
    /// The maximum drain time is over; requests in flight are aborted.
    GivingUp,
    /// No request is in flight, and the host notifies its peers that it is leaving.
    Departing,
    /// The process can exit.
    Stopped,
}

/// Events that advance the lifecycle.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LifecycleEvent {
    /// A configuration is in force.
    Configured,
    /// The operator or the platform requests a stop.
    Stop,
    /// The time for the load balancer to notice has elapsed.
    BalancerLagElapsed,
    /// No request is in flight.
    Idle,
    /// The maximum drain time is over.
    DrainTimedOut,
    /// The peers have been notified.
    PeersNotified,
}

#[derive(Debug, Default)]
struct Machine;

#[state_machine(initial = "State::starting()")]
impl Machine {
    #[state]
    fn starting(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::Configured => Transition(State::ready()),
            LifecycleEvent::Stop => Transition(State::finishing()),
            _ => Handled,
        }
    }

    #[state]
    fn ready(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::Stop => Transition(State::leaving()),
            _ => Handled,
        }
    }

    #[state]
    fn leaving(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::BalancerLagElapsed => Transition(State::finishing()),
            _ => Handled,
        }
    }

    #[state]
    fn finishing(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::Idle => Transition(State::departing()),
            LifecycleEvent::DrainTimedOut => Transition(State::giving_up()),
            _ => Handled,
        }
    }

    #[state]
    fn giving_up(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::Idle => Transition(State::departing()),
            _ => Handled,
        }
    }

    #[state]
    fn departing(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::PeersNotified => Transition(State::stopped()),
            _ => Handled,
        }
    }

    #[state]
    fn stopped(event: &LifecycleEvent) -> Outcome<State> {
        // The exhaustive match makes each new event a compile error here.
        match event {
            LifecycleEvent::Configured
            | LifecycleEvent::Stop
            | LifecycleEvent::BalancerLagElapsed
            | LifecycleEvent::Idle
            | LifecycleEvent::DrainTimedOut
            | LifecycleEvent::PeersNotified => Handled,
        }
    }
}

/// The state machine of a host's lifecycle.
pub struct Lifecycle {
    machine: StateMachine<Machine>,
}

impl Default for Lifecycle {
    fn default() -> Self {
        Self {
            machine: Machine.state_machine(),
        }
    }
}

impl Lifecycle {
    /// Handles an event and returns the resulting phase.
    pub fn on_event(&mut self, event: LifecycleEvent) -> Phase {
        self.machine.handle(&event);
        self.phase()
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        match self.machine.state() {
            State::Starting {} => Phase::Starting,
            State::Ready {} => Phase::Ready,
            State::Leaving {} => Phase::Leaving,
            State::Finishing {} => Phase::Finishing,
            State::GivingUp {} => Phase::GivingUp,
            State::Departing {} => Phase::Departing,
            State::Stopped {} => Phase::Stopped,
        }
    }
}
