//! Connections to upstreams: pool, limit share, silence detection, health and quarantine.
