//! Model checking of commit, claims and snapshot pins.
