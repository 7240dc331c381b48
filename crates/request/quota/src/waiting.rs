//! Requests of a host that wait for permits of one slot.

use {
    crate::Answer,
    std::{
        collections::VecDeque,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Request for permits of one workspace.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ask {
    /// Name of the workspace.
    pub workspace: Arc<str>,
    /// Number of permits.
    pub count: u32,
}

/// Result of waiting for a permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The request may be sent until this time.
    Granted(Instant),
    /// The request exceeds the quota; it may be repeated after this time.
    Limited(Duration),
}

#[derive(Debug)]
struct Waiter<T> {
    workspace: Arc<str>,
    /// Time until which the request can wait.
    until: Instant,
    /// Whether the call under way asks for its permit.
    is_asked: bool,
    ticket: T,
}

/// Requests that wait for permits, in the order of their arrival.
///
/// At most one call to the issuer is under way; requests that arrive meanwhile go into
/// the next one together. A host that gets more requests than its workspaces may send
/// therefore makes no more calls than others.
///
/// Permits of an answer that arrives too late are lost but stay counted. After a call
/// without an answer in time, the next ones ask for one permit of each workspace, so that
/// a flood at a host with a slow path does not use up quotas for nothing.
#[derive(Debug)]
pub struct Waiting<T> {
    waiters: VecDeque<Waiter<T>>,
    /// Whether the last call was not answered in time.
    is_unanswered: bool,
}

impl<T> Default for Waiting<T> {
    fn default() -> Self {
        Self {
            waiters: VecDeque::new(),
            is_unanswered: false,
        }
    }
}

impl<T> Waiting<T> {
    /// Adds a request that can wait until `until`.
    pub fn push(&mut self, workspace: Arc<str>, until: Instant, ticket: T) {
        self.waiters.push_back(Waiter {
            workspace,
            until,
            is_asked: false,
            ticket,
        });
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Removes the requests that can wait no longer, and returns their tickets.
    pub fn take_expired(&mut self, now: Instant) -> Vec<T> {
        let mut expired = Vec::new();
        let waiters = std::mem::take(&mut self.waiters);
        for waiter in waiters {
            if waiter.until <= now {
                expired.push(waiter.ticket);
            } else {
                self.waiters.push_back(waiter);
            }
        }
        expired
    }

    /// Drops the requests whose tickets `is_gone` names, for example because their
    /// callers have left.
    pub fn remove_gone(&mut self, is_gone: impl Fn(&T) -> bool) {
        self.waiters.retain(|waiter| !is_gone(&waiter.ticket));
    }

    /// Returns the earliest time at which a request can wait no longer.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.waiters.iter().map(|waiter| waiter.until).min()
    }

    /// Begins a call for all waiting requests, or for the first one of each workspace if
    /// the last call was not answered in time.
    pub fn begin_call(&mut self) -> Vec<Ask> {
        let mut asks: Vec<Ask> = Vec::new();
        for waiter in &mut self.waiters {
            let ask = asks
                .iter_mut()
                .find(|ask| ask.workspace == waiter.workspace);
            waiter.is_asked = ask.is_none() || !self.is_unanswered;
            match ask {
                Some(ask) => ask.count += u32::from(waiter.is_asked),
                None => asks.push(Ask {
                    workspace: Arc::clone(&waiter.workspace),
                    count: 1,
                }),
            }
        }
        asks
    }

    /// Ends the call with the answers to `asks`; the permits may be used until
    /// `use_by`. Returns the tickets whose waiting has ended.
    pub fn on_answered(
        &mut self,
        asks: &[Ask],
        answers: &[Answer],
        use_by: Instant,
    ) -> Vec<(T, Outcome)> {
        self.is_unanswered = false;
        let asks = asks.iter().map(|ask| &ask.workspace);
        let mut left: Vec<(&Arc<str>, Answer)> = asks.zip(answers.iter().copied()).collect();
        let mut ended = Vec::new();
        let waiters = std::mem::take(&mut self.waiters);
        for mut waiter in waiters {
            let answer = left.iter_mut().find(|(name, _)| **name == waiter.workspace);
            let answer = answer.map(|(_, answer)| answer);
            match answer {
                // Permits of requests that are gone serve later ones.
                Some(answer) if answer.granted > 0 => {
                    answer.granted -= 1;
                    ended.push((waiter.ticket, Outcome::Granted(use_by)));
                }
                Some(answer) if answer.refused > 0 && waiter.is_asked => {
                    answer.refused -= 1;
                    ended.push((waiter.ticket, Outcome::Limited(answer.retry_after)));
                }
                _ => {
                    waiter.is_asked = false;
                    self.waiters.push_back(waiter);
                }
            }
        }
        ended
    }

    /// Ends the call without an answer in time; its requests wait for the next one.
    pub fn on_unanswered(&mut self) {
        self.is_unanswered = true;
        for waiter in &mut self.waiters {
            waiter.is_asked = false;
        }
    }
}
