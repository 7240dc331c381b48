//! Decisions of one query: snapshot pin, fan-out, hedging, retries, merge and coverage.
