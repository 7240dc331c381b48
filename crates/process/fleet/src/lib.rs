//! The fleet: membership, relay sets, peer exchange and host life.
