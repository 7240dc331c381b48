//! The life of a host, from start to exit.
//!
//! A graceful shutdown takes its steps in order: not ready, wait until the
//! balancer has noticed, refuse new work, finish what is in flight, tell the
//! peers, exit. What is still in flight at the end of the longest drain is
//! given up, and its callers are told so.

use statig::{blocking::StateMachine, prelude::*};

/// Where a host stands in its life, in the order in which it comes there.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// No configuration is in force yet.
    Starting,
    /// The host takes work.
    Ready,
    /// The host reports not ready and still takes work, until the balancer has noticed.
    Leaving,
    /// The host refuses new work and finishes what is in flight.
    Finishing,
    /// The longest drain is over; what is in flight is given up.
    GivingUp,
    /// Nothing is in flight any more, and the host tells its peers that it is gone.
    Departing,
    /// The process can end.
    Stopped,
}

/// What moves a host along.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LifeEvent {
    /// A configuration is in force.
    Configured,
    /// The operator or the platform asks the host to stop.
    Stop,
    /// The balancer has had the time to notice.
    BalancerLagOver,
    /// Nothing is in flight.
    Idle,
    /// The longest drain is over.
    DrainOver,
    /// The peers have been told.
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
        // Every event is late here; the match keeps the list of events closed.
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

/// The state machine of a host's life.
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
    /// Takes an event and returns the phase that follows.
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
