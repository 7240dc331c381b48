//! The entry accepts queries of callers over HTTP and answers them.

mod answer;
mod forward;
mod headers;
mod problem;
mod query;

pub(crate) use {
    forward::RelaySelectors,
    problem::Problem,
    query::{method_not_allowed, not_found, router},
};
