//! One host of the tier: entry, relay, administration and the loops between them.
