//! Admission of whole queries at the relay.
//!
//! A query is admitted for all its shards at once, or not at all: a queue in
//! front of each upstream would let a flood waste nearly all work, because a
//! query that loses one shard has wasted the others. The [`Gate`] of a
//! service therefore keeps a bounded window of running queries and lets rank,
//! tenant and deadline decide who enters it next.
//!
//! Everything here is plain state. Events and the time come in, actions go
//! out, and nothing does I/O.
//!
//! # Examples
//!
//! ```
//! use {
//!     admit::{Action, Config, Fixed, Gate, Offer},
//!     record::Rank,
//!     std::time::{Duration, Instant},
//! };
//!
//! let now = Instant::now();
//! let mut gate = Gate::new(Config::default(), Fixed::new(1));
//! let offer = |ticket, rank| Offer {
//!     ticket,
//!     rank,
//!     tenant: "clerks".to_owned(),
//!     deadline: now + Duration::from_secs(1),
//! };
//! assert_eq!(gate.offer(offer(1, Rank::Background), now), [Action::Admit(1)]);
//! assert_eq!(gate.offer(offer(2, Rank::Background), now), []);
//! assert_eq!(gate.offer(offer(3, Rank::Urgent), now), []);
//! // The place of the first goes to the urgent one, though it came last.
//! assert_eq!(gate.cancel(1, now), [Action::Admit(3)]);
//! ```

mod config;
mod estimate;
mod floor;
mod gate;
mod line;
mod offer;
mod window;

pub use crate::{
    config::Config,
    gate::Gate,
    offer::{Action, Offer, Refusal, RefusalKind, Shown, Ticket},
    window::{Bounds, DelayAimd, Fixed, Window},
};
