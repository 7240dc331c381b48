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
pub enum LifeEvent {
    /// A configuration is in force.
    Configured,
    /// The operator or the platform requests a stop.
    Stop,
    /// The time for the load balancer to notice has elapsed.
    BalancerLagOver,
    /// No request is in flight.
    Idle,
    /// The maximum drain time is over.
    DrainOver,
    /// The peers have been notified.
    PeersTold,
}

#[derive(Debug, Default)]
struct Machine;

#[state_machine(initial = "State::starting()")]
impl Machine {
    #[state]
    fn starting(event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::Configured => Transition(State::ready()),
            LifeEvent::Stop => Transition(State::finishing()),
            _ => Handled,
        }
    }

    #[state]
    fn ready(event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::Stop => Transition(State::leaving()),
            _ => Handled,
        }
    }

    #[state]
    fn leaving(event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::BalancerLagOver => Transition(State::finishing()),
            _ => Handled,
        }
    }

    #[state]
    fn finishing(event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::Idle => Transition(State::departing()),
            LifeEvent::DrainOver => Transition(State::giving_up()),
            _ => Handled,
        }
    }

    #[state]
    fn giving_up(event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::Idle => Transition(State::departing()),
            _ => Handled,
        }
    }

    #[state]
    fn departing(event: &LifeEvent) -> Outcome<State> {
        match event {
            LifeEvent::PeersTold => Transition(State::stopped()),
            _ => Handled,
        }
    }

    #[state]
    fn stopped(event: &LifeEvent) -> Outcome<State> {
        // The exhaustive match makes each new event a compile error here.
        match event {
            LifeEvent::Configured
            | LifeEvent::Stop
            | LifeEvent::BalancerLagOver
            | LifeEvent::Idle
            | LifeEvent::DrainOver
            | LifeEvent::PeersTold => Handled,
        }
    }
}

/// The state machine of a host's lifecycle.
pub struct Life {
    machine: StateMachine<Machine>,
}

impl Default for Life {
    fn default() -> Self {
        Self {
            machine: Machine.state_machine(),
        }
    }
}

impl Life {
    /// Handles an event and returns the resulting phase.
    pub fn on_event(&mut self, event: LifeEvent) -> Phase {
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
