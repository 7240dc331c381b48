//! The quarantine state that hosts exchange.
//!
//! Times are sent as ages and remaining durations, because hosts share no clock.

use {
    crate::Fingerprint,
    record::ServerAddr,
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
};

/// Largest number of entries in each list of a message.
const MAX_ENTRIES: usize = 1_024;
/// Longest age or remaining duration that a peer may send.
const MAX_DURATION: Duration = Duration::from_secs(24 * 3_600);

/// A crash of a server while it ran a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportedCrash {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The server that crashed.
    pub server: ServerAddr,
    /// The time since the crash.
    pub age: Duration,
}

/// A fingerprint in quarantine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuarantinedFingerprint {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The remaining time of the quarantine.
    pub remaining: Duration,
}

/// The quarantine state of one host, which peers merge into their own.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct QuarantineDelta {
    /// Crashes that count against their fingerprints.
    pub crashes: Vec<ReportedCrash>,
    /// Fingerprints in quarantine.
    pub quarantined: Vec<QuarantinedFingerprint>,
}

/// [`ReportedCrash`] on the wire.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct WireCrash {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The server that crashed.
    pub server: ServerAddr,
    /// The time since the crash, in milliseconds.
    pub age_ms: u64,
}

/// [`QuarantinedFingerprint`] on the wire.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct WireQuarantinedFingerprint {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The remaining time of the quarantine, in milliseconds.
    pub left_ms: u64,
}

/// [`QuarantineDelta`] on the wire.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct WireQuarantineDelta {
    /// Crashes that count against their fingerprints.
    pub marks: Vec<WireCrash>,
    /// Fingerprints in quarantine.
    pub held_back: Vec<WireQuarantinedFingerprint>,
}

/// Why a message from a peer is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DeltaError {
    /// A list has too many entries.
    TooManyEntries,
    /// An age or a remaining duration is too long.
    DurationTooLong,
}

impl QuarantineDelta {
    /// Returns the delta as it is `elapsed` later.
    pub fn aged(mut self, elapsed: Duration) -> Self {
        for crash in &mut self.crashes {
            crash.age = crash.age.saturating_add(elapsed);
        }
        self.quarantined.retain(|entry| entry.remaining > elapsed);
        for entry in &mut self.quarantined {
            entry.remaining -= elapsed;
        }
        self
    }

    /// Returns whether the delta has no entries.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.quarantined.is_empty()
    }
}

impl fmt::Display for DeltaError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooManyEntries => "a list in the quarantine message has too many entries",
            Self::DurationTooLong => "a duration in the quarantine message is too long",
        })
    }
}

impl std::error::Error for DeltaError {}

impl From<QuarantineDelta> for WireQuarantineDelta {
    fn from(delta: QuarantineDelta) -> Self {
        let crashes = delta.crashes.into_iter().map(|crash| WireCrash {
            fingerprint: crash.fingerprint,
            server: crash.server,
            age_ms: millis(crash.age),
        });
        let quarantined = delta
            .quarantined
            .into_iter()
            .map(|entry| WireQuarantinedFingerprint {
                fingerprint: entry.fingerprint,
                left_ms: millis(entry.remaining),
            });
        Self {
            marks: crashes.take(MAX_ENTRIES).collect(),
            held_back: quarantined.take(MAX_ENTRIES).collect(),
        }
    }
}

impl TryFrom<WireQuarantineDelta> for QuarantineDelta {
    type Error = DeltaError;

    fn try_from(wire: WireQuarantineDelta) -> Result<Self, DeltaError> {
        if wire.marks.len() > MAX_ENTRIES || wire.held_back.len() > MAX_ENTRIES {
            return Err(DeltaError::TooManyEntries);
        }
        let crashes = wire.marks.into_iter().map(|crash| {
            Ok(ReportedCrash {
                fingerprint: crash.fingerprint,
                server: crash.server,
                age: checked_duration(crash.age_ms)?,
            })
        });
        let quarantined = wire.held_back.into_iter().map(|entry| {
            Ok(QuarantinedFingerprint {
                fingerprint: entry.fingerprint,
                remaining: checked_duration(entry.left_ms)?,
            })
        });
        Ok(Self {
            crashes: crashes.collect::<Result<_, _>>()?,
            quarantined: quarantined.collect::<Result<_, _>>()?,
        })
    }
}

fn checked_duration(duration_ms: u64) -> Result<Duration, DeltaError> {
    let duration = Duration::from_millis(duration_ms);
    if duration > MAX_DURATION {
        return Err(DeltaError::DurationTooLong);
    }
    Ok(duration)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
