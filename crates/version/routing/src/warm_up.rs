//! Limits on the requests to servers that have just started.

use {
    crate::RawWarmUp,
    kind::{Error, Kind, Result},
    std::time::Duration,
};

/// Limit on the requests that all hosts together send to a cold server of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpLimit {
    /// Time for which a server is cold after its start.
    pub duration: Duration,
    /// Requests per second.
    pub per_s: f64,
}

impl WarmUpLimit {
    /// Returns the limit of a service, or `None` if it sets none.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::BadRecord`] if a number is negative or not finite.
    pub(crate) fn from_raw(service: &str, raw: RawWarmUp) -> Result<Option<Self>> {
        let duration = Duration::try_from_secs_f64(raw.duration_s);
        if let (Ok(duration), true) = (duration, raw.per_s.is_finite() && raw.per_s >= 0.0) {
            let per_s = raw.per_s;
            return Ok((per_s > 0.0).then_some(Self { duration, per_s }));
        }
        let detail = format!("service {service}: the warm-up is negative or not finite");
        Err(Error::new(Kind::BadRecord, detail))
    }
}
