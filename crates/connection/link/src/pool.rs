//! A connection pool, which decides which connection a call uses and when
//! connections are opened and closed.
//!
//! The pool holds the connections of one relay to one server, and never more
//! than the relay's share of the server's connection limit. It hands out the
//! most recently used connection first, so that surplus connections stay idle
//! and expire. It does not hand out a connection that may have gone silent until
//! that connection has been shown to work.

use {
    crate::BackOff,
    std::time::{Duration, Instant},
};

/// Initial pause after a connection was refused at the server's connection limit.
const INITIAL_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause after connections were refused at the server's connection limit.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// The limits of a pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolConfig {
    /// Largest number of connections held, including those being opened.
    pub max_connections: u32,
    /// Number of connections kept open even while idle.
    pub min_idle: u32,
    /// Idle time after which a surplus connection is closed.
    pub idle_timeout: Duration,
}

/// A connection that a call has checked out.
#[derive(Debug)]
pub struct CheckedOutConnection<C> {
    /// The connection.
    pub connection: C,
    /// When the server last sent a byte on the connection.
    pub last_byte: Instant,
    /// Whether the connection has carried an earlier call.
    pub is_reused: bool,
}

/// How a call gets its connection.
#[derive(Debug)]
pub enum CheckoutDecision<C> {
    /// Use this connection.
    Reuse(CheckedOutConnection<C>),
    /// Open a connection, and close the given one, which may have gone silent.
    Open(Option<C>),
    /// The maximum number of connections is reached; wait until a connection is returned.
    Wait,
    /// The server refused a connection at its limit; wait until this time.
    BackOff(Instant),
}

struct Idle<C> {
    handle: CheckedOutConnection<C>,
    since: Instant,
}

/// The connections of one relay to one server.
///
/// `C` is the caller's connection type.
pub struct Pool<C> {
    config: PoolConfig,
    idle: Vec<Idle<C>>,
    /// Number of connections checked out or being opened.
    checked_out: u32,
    /// Connections on which no byte has come after this time may have gone silent.
    suspected_at: Option<Instant>,
    refusal_back_off: BackOff,
}

impl<C> Pool<C> {
    /// Creates an empty pool.
    pub fn new(config: PoolConfig) -> Self {
        Self {
            config,
            idle: Vec::new(),
            checked_out: 0,
            suspected_at: None,
            refusal_back_off: BackOff::new(INITIAL_PAUSE, MAX_PAUSE),
        }
    }

    /// Changes the maximum number of connections; those above it are closed when they are returned.
    pub fn set_max_connections(&mut self, max_connections: u32) {
        self.config.max_connections = max_connections;
    }

    /// Changes the idle time after which a surplus connection is closed.
    pub fn set_idle_timeout(&mut self, idle_timeout: Duration) {
        self.config.idle_timeout = idle_timeout;
    }

    /// Returns the number of connections held, including those being opened.
    pub fn held(&self) -> u32 {
        self.checked_out + u32::try_from(self.idle.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of connections checked out or being opened.
    pub fn checked_out(&self) -> u32 {
        self.checked_out
    }

    /// Returns whether a further connection may be opened.
    pub fn has_capacity(&self) -> bool {
        self.held() < self.config.max_connections
    }

    /// Decides how a call gets its connection.
    ///
    /// After [`CheckoutDecision::Open`], the caller must call [`Pool::on_opened`],
    /// [`Pool::on_refused`] or [`Pool::on_closed`].
    pub fn checkout(&mut self, now: Instant) -> CheckoutDecision<C> {
        let latest_trusted = self.idle.iter().rposition(|idle| self.is_trusted(idle));
        if let Some(position) = latest_trusted {
            self.checked_out += 1;
            return CheckoutDecision::Reuse(self.idle.remove(position).handle);
        }
        if let Some(until) = self.refusal_back_off.paused_until(now) {
            return CheckoutDecision::BackOff(until);
        }
        if self.has_capacity() {
            self.checked_out += 1;
            return CheckoutDecision::Open(None);
        }
        // Every idle connection is suspected here; the oldest one is replaced.
        match self.idle.is_empty() {
            true => CheckoutDecision::Wait,
            false => {
                self.checked_out += 1;
                CheckoutDecision::Open(Some(self.idle.remove(0).handle.connection))
            }
        }
    }

    /// Records that the server has accepted a connection.
    pub fn on_opened(&mut self, connection: C, now: Instant) -> CheckedOutConnection<C> {
        self.refusal_back_off.on_success();
        CheckedOutConnection {
            connection,
            last_byte: now,
            is_reused: false,
        }
    }

    /// Records that the server refused a connection at its limit, which is no sign of bad health.
    pub fn on_refused(&mut self, jitter: f64, now: Instant) {
        self.checked_out = self.checked_out.saturating_sub(1);
        self.refusal_back_off.on_failure(jitter, now);
    }

    /// Records that a connection that was checked out has been closed.
    pub fn on_closed(&mut self) {
        self.checked_out = self.checked_out.saturating_sub(1);
    }

    /// Returns a connection to the pool after its reply has been read in full.
    ///
    /// Hands the connection back to the caller if it is to be closed.
    pub fn check_in(&mut self, connection: C, now: Instant) -> Option<C> {
        self.checked_out = self.checked_out.saturating_sub(1);
        if self.held() >= self.config.max_connections {
            return Some(connection);
        }
        let handle = CheckedOutConnection {
            connection,
            last_byte: now,
            is_reused: true,
        };
        self.idle.push(Idle { handle, since: now });
        None
    }

    /// Treats the connections on which no byte has come after `sent_at` as possibly silent.
    pub fn suspect_silent_since(&mut self, sent_at: Instant) {
        self.suspected_at = self.suspected_at.max(Some(sent_at));
    }

    /// Trusts the suspected connections again, after they were shown to work.
    pub fn clear_suspicion(&mut self) {
        self.suspected_at = None;
    }

    /// Checks out the suspected connections, which the caller probes or closes.
    pub fn take_suspected(&mut self) -> Vec<CheckedOutConnection<C>> {
        let (suspected, trusted): (Vec<_>, Vec<_>) = std::mem::take(&mut self.idle)
            .into_iter()
            .partition(|idle| !self.is_trusted(idle));
        self.idle = trusted;
        self.checked_out += u32::try_from(suspected.len()).unwrap_or(u32::MAX);
        suspected.into_iter().map(|idle| idle.handle).collect()
    }

    /// Removes and returns the surplus connections that have been idle for too long.
    pub fn take_expired(&mut self, now: Instant) -> Vec<C> {
        let mut expired = Vec::new();
        let min_idle = self.config.min_idle as usize;
        while self.idle.len() > min_idle {
            let oldest = &self.idle[0];
            if now.saturating_duration_since(oldest.since) < self.config.idle_timeout {
                break;
            }
            expired.push(self.idle.remove(0).handle.connection);
        }
        expired
    }

    /// Removes and returns the idle connections for which `should_remove` returns true.
    pub fn take_idle_if(&mut self, mut should_remove: impl FnMut(&C) -> bool) -> Vec<C> {
        let (removed, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut self.idle)
            .into_iter()
            .partition(|idle| should_remove(&idle.handle.connection));
        self.idle = kept;
        removed
            .into_iter()
            .map(|idle| idle.handle.connection)
            .collect()
    }

    /// Returns whether a connection is to be opened to keep the configured number warm.
    ///
    /// If so, the connection counts as being opened, as after [`CheckoutDecision::Open`].
    pub fn reserve_warm_connection(&mut self, now: Instant) -> bool {
        let target = self.config.min_idle.min(self.config.max_connections);
        let is_wanted = self.held() < target && self.refusal_back_off.paused_until(now).is_none();
        if is_wanted {
            self.checked_out += 1;
        }
        is_wanted
    }

    fn is_trusted(&self, idle: &Idle<C>) -> bool {
        self.suspected_at
            .is_none_or(|suspected_at| idle.handle.last_byte > suspected_at)
    }
}
