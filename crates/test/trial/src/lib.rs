//! Experiments under paused time over the decision code.
