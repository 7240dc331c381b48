//! How long work takes on a server's machine at this moment.

use {
    kind::{Error, Kind},
    std::time::Duration,
};

/// Bounds of the factor. A figure beyond them is taken as the nearest bound, so that
/// one wrong report neither attracts nor repels all calls.
const FACTOR_BOUNDS: (f64, f64) = (0.1, 20.0);
/// Time constant with which a report loses its weight. The figure changes many times
/// per second, so that a report says little about the time after the next few requests.
const DECAY: Duration = Duration::from_millis(100);

/// Duration of work on a server's machine, in multiples of the normal duration.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Slowness(f64);

impl Slowness {
    /// The slowness of a machine that works as usual, or that reports none.
    pub const NORMAL: Self = Self(1.0);

    /// Returns the factor that is expected `age` after the report: the reported one at
    /// first, and 1 in the end.
    pub(crate) fn after(self, age: Duration) -> f64 {
        1.0 + (self.0 - 1.0) * (-age.as_secs_f64() / DECAY.as_secs_f64()).exp()
    }
}

impl Default for Slowness {
    fn default() -> Self {
        Self::NORMAL
    }
}

impl TryFrom<f64> for Slowness {
    type Error = Error;

    /// Checks a factor.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::BadRecord`] if the factor is not a finite number above 0.
    fn try_from(factor: f64) -> Result<Self, Error> {
        if !factor.is_finite() || factor <= 0.0 {
            let detail = format!("the slowness {factor} is not a finite number above 0");
            return Err(Error::new(Kind::BadRecord, detail));
        }
        Ok(Self(factor.clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1)))
    }
}
