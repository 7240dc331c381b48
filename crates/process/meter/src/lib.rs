//! Metrics and logs of a host.
