//! Which connection a call uses, and when connections are opened and closed.
//!
//! The pool holds the connections of one relay to one server and never more
//! than the relay's share. The most recently used connection goes out first,
//! so that spare ones age and retire. A connection that may have gone silent
//! is never handed out before it has proved itself.

use {
    crate::BackOff,
    std::time::{Duration, Instant},
};

/// First pause after a refusal at the connection limit.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause after refusals at the connection limit.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// What bounds a pool.
#[derive(Clone, Copy, Debug)]
pub struct PoolConfig {
    /// Most connections held, those being opened included.
    pub share: u32,
    /// Connections kept open ahead of need.
    pub warm: u32,
    /// Time without use after which a spare connection is closed.
    pub idle_timeout: Duration,
}

/// A connection on loan, with what is known about it.
#[derive(Debug)]
pub struct Lease<C> {
    /// The connection.
    pub connection: C,
    /// When the server last sent a byte on it.
    pub last_byte: Instant,
    /// Whether it has carried a call before.
    pub is_reused: bool,
}

/// How a call gets its connection.
#[derive(Debug)]
pub enum Checkout<C> {
    /// Use this connection.
    Reuse(Lease<C>),
    /// Open a connection, and close the given one, which is not trusted any more.
    Open(Option<C>),
    /// The share is used up; wait until a connection comes back.
    Wait,
    /// The server refused a connection at its limit; wait until then.
    BackOff(Instant),
}

struct Idle<C> {
    lease: Lease<C>,
    since: Instant,
}

/// Connections of one relay to one server.
///
/// `C` is whatever the shell uses as a connection.
pub struct Pool<C> {
    config: PoolConfig,
    idle: Vec<Idle<C>>,
    /// Connections on loan or being opened.
    out: u32,
    /// Connections without a byte since then may have gone silent.
    suspected_at: Option<Instant>,
    refused: BackOff,
}

impl<C> Pool<C> {
    /// Creates an empty pool.
    pub fn new(config: PoolConfig) -> Self {
        Self {
            config,
            idle: Vec::new(),
            out: 0,
            suspected_at: None,
            refused: BackOff::new(FIRST_PAUSE, LONGEST_PAUSE),
        }
    }

    /// Changes the share; connections above it are closed as they come back.
    pub fn set_share(&mut self, share: u32) {
        self.config.share = share;
    }

    /// Changes the time without use after which a spare connection is closed.
    pub fn set_idle_timeout(&mut self, idle_timeout: Duration) {
        self.config.idle_timeout = idle_timeout;
    }

    /// Returns the number of connections held, those being opened included.
    pub fn held(&self) -> u32 {
        self.out + u32::try_from(self.idle.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of connections on loan or being opened.
    pub fn out(&self) -> u32 {
        self.out
    }

    /// Returns whether a further connection fits the share.
    pub fn has_room(&self) -> bool {
        self.held() < self.config.share
    }

    /// Decides how a call gets its connection.
    ///
    /// After [`Checkout::Open`] the caller owes [`Pool::on_opened`] or
    /// [`Pool::on_refused`] or [`Pool::on_closed`].
    pub fn checkout(&mut self, now: Instant) -> Checkout<C> {
        let trusted = self.idle.iter().rposition(|idle| self.is_trusted(idle));
        if let Some(position) = trusted {
            self.out += 1;
            return Checkout::Reuse(self.idle.remove(position).lease);
        }
        if let Some(until) = self.refused.until(now) {
            return Checkout::BackOff(until);
        }
        if self.has_room() {
            self.out += 1;
            return Checkout::Open(None);
        }
        // Every idle connection is suspected here, the oldest goes.
        match self.idle.is_empty() {
            true => Checkout::Wait,
            false => {
                self.out += 1;
                Checkout::Open(Some(self.idle.remove(0).lease.connection))
            }
        }
    }

    /// Takes a connection that the server has accepted.
    pub fn on_opened(&mut self, connection: C, now: Instant) -> Lease<C> {
        self.refused.on_success();
        Lease {
            connection,
            last_byte: now,
            is_reused: false,
        }
    }

    /// Takes a refusal at the connection limit, which is no fault of the server.
    pub fn on_refused(&mut self, jitter: f64, now: Instant) {
        self.out = self.out.saturating_sub(1);
        self.refused.on_failure(jitter, now);
    }

    /// Takes the end of a connection on loan.
    pub fn on_closed(&mut self) {
        self.out = self.out.saturating_sub(1);
    }

    /// Takes a connection back after its reply has been read in full.
    ///
    /// Returns the connection if it is to be closed.
    pub fn give_back(&mut self, connection: C, now: Instant) -> Option<C> {
        self.out = self.out.saturating_sub(1);
        if self.held() >= self.config.share {
            return Some(connection);
        }
        let lease = Lease {
            connection,
            last_byte: now,
            is_reused: true,
        };
        self.idle.push(Idle { lease, since: now });
        None
    }

    /// Takes the suspicion that connections without a byte since `sent_at` have gone silent.
    pub fn on_suspicion(&mut self, sent_at: Instant) {
        self.suspected_at = self.suspected_at.max(Some(sent_at));
    }

    /// Takes the proof that the suspected connections work after all.
    pub fn on_suspicion_refuted(&mut self) {
        self.suspected_at = None;
    }

    /// Returns the suspected connections, which are probed or closed and count as on loan.
    pub fn take_suspected(&mut self) -> Vec<Lease<C>> {
        let (suspected, trusted): (Vec<_>, Vec<_>) = std::mem::take(&mut self.idle)
            .into_iter()
            .partition(|idle| !self.is_trusted(idle));
        self.idle = trusted;
        self.out += u32::try_from(suspected.len()).unwrap_or(u32::MAX);
        suspected.into_iter().map(|idle| idle.lease).collect()
    }

    /// Returns the connections to close because they have not been used for long.
    pub fn take_expired(&mut self, now: Instant) -> Vec<C> {
        let mut expired = Vec::new();
        let warm = self.config.warm as usize;
        while self.idle.len() > warm {
            let oldest = &self.idle[0];
            if now.saturating_duration_since(oldest.since) < self.config.idle_timeout {
                break;
            }
            expired.push(self.idle.remove(0).lease.connection);
        }
        expired
    }

    /// Returns the idle connections that the test drops; the others stay.
    pub fn take_idle_if(&mut self, mut is_dropped: impl FnMut(&C) -> bool) -> Vec<C> {
        let (dropped, kept): (Vec<_>, Vec<_>) = std::mem::take(&mut self.idle)
            .into_iter()
            .partition(|idle| is_dropped(&idle.lease.connection));
        self.idle = kept;
        dropped
            .into_iter()
            .map(|idle| idle.lease.connection)
            .collect()
    }

    /// Returns whether a connection is to be opened ahead of need, and counts it as being opened.
    pub fn wants_warm(&mut self, now: Instant) -> bool {
        let wanted = self.config.warm.min(self.config.share);
        let wants = self.held() < wanted && self.refused.until(now).is_none();
        if wants {
            self.out += 1;
        }
        wants
    }

    fn is_trusted(&self, idle: &Idle<C>) -> bool {
        self.suspected_at
            .is_none_or(|suspected_at| idle.lease.last_byte > suspected_at)
    }
}
