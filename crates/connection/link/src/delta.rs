//! What hosts tell each other about poison requests.
//!
//! Times travel as ages and as time left, because hosts share no clock.

use {
    crate::Fingerprint,
    record::ServerAddr,
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
};

/// Most entries of each list in one message.
const MAX_ENTRIES: usize = 1_024;
/// Longest time that a peer may state.
const MAX_TIME: Duration = Duration::from_secs(24 * 3_600);

/// A crash of a server under a fingerprint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Mark {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Server that crashed.
    pub server: ServerAddr,
    /// Time since the crash.
    pub age: Duration,
}

/// A fingerprint that is held back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldBack {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Time for which it is held back yet.
    pub left: Duration,
}

/// What one host knows about poison requests; peers merge it into their own.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct QuarantineDelta {
    /// Crashes that count.
    pub marks: Vec<Mark>,
    /// Fingerprints that are held back.
    pub held_back: Vec<HeldBack>,
}

/// A crash on the wire.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct WireMark {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Server that crashed.
    pub server: ServerAddr,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
}

/// A fingerprint that is held back, on the wire.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct WireHeldBack {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Time for which it is held back yet, in milliseconds.
    pub left_ms: u64,
}

/// [`QuarantineDelta`] on the wire.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct WireQuarantineDelta {
    /// Crashes that count.
    pub marks: Vec<WireMark>,
    /// Fingerprints that are held back.
    pub held_back: Vec<WireHeldBack>,
}

/// Why the word of a peer is not taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BadDelta {
    /// A list is longer than allowed.
    TooLong,
    /// A time is longer than allowed.
    TimeOutOfRange,
}

impl QuarantineDelta {
    /// Returns the delta as it holds after `time`.
    pub fn aged(mut self, time: Duration) -> Self {
        for mark in &mut self.marks {
            mark.age = mark.age.saturating_add(time);
        }
        self.held_back.retain(|held| held.left > time);
        for held in &mut self.held_back {
            held.left -= time;
        }
        self
    }

    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty() && self.held_back.is_empty()
    }
}

impl fmt::Display for BadDelta {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLong => "a list is longer than allowed",
            Self::TimeOutOfRange => "a time is longer than allowed",
        })
    }
}

impl std::error::Error for BadDelta {}

impl From<QuarantineDelta> for WireQuarantineDelta {
    fn from(delta: QuarantineDelta) -> Self {
        let marks = delta.marks.into_iter().map(|mark| WireMark {
            fingerprint: mark.fingerprint,
            server: mark.server,
            age_ms: millis(mark.age),
        });
        let held_back = delta.held_back.into_iter().map(|held| WireHeldBack {
            fingerprint: held.fingerprint,
            left_ms: millis(held.left),
        });
        Self {
            marks: marks.take(MAX_ENTRIES).collect(),
            held_back: held_back.take(MAX_ENTRIES).collect(),
        }
    }
}

impl TryFrom<WireQuarantineDelta> for QuarantineDelta {
    type Error = BadDelta;

    fn try_from(wire: WireQuarantineDelta) -> Result<Self, BadDelta> {
        if wire.marks.len() > MAX_ENTRIES || wire.held_back.len() > MAX_ENTRIES {
            return Err(BadDelta::TooLong);
        }
        let marks = wire.marks.into_iter().map(|mark| {
            Ok(Mark {
                fingerprint: mark.fingerprint,
                server: mark.server,
                age: checked_time(mark.age_ms)?,
            })
        });
        let held_back = wire.held_back.into_iter().map(|held| {
            Ok(HeldBack {
                fingerprint: held.fingerprint,
                left: checked_time(held.left_ms)?,
            })
        });
        Ok(Self {
            marks: marks.collect::<Result<_, _>>()?,
            held_back: held_back.collect::<Result<_, _>>()?,
        })
    }
}

fn checked_time(time_ms: u64) -> Result<Duration, BadDelta> {
    let time = Duration::from_millis(time_ms);
    if time > MAX_TIME {
        return Err(BadDelta::TimeOutOfRange);
    }
    Ok(time)
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
