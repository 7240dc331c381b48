//! Admission control for whole queries at the relay.
//!
//! A query is admitted for all its shards at once or not at all. With a
//! separate queue in front of each upstream, an overload would waste nearly
//! all work, because a query that loses one shard wastes the work done on the
//! others. The [`Gate`] of a service therefore limits the number of running
//! queries, and chooses the next one by rank, tenant and deadline.
//!
//! The crate does no I/O and reads no clock: callers pass in events and the
//! current time, and carry out the actions returned.
//!
//! # Examples
//!
//! ```
//! use {
//!     admit::{Action, Config, FixedWindow, Gate, Offer},
//!     record::Rank,
//!     std::time::{Duration, Instant},
//! };
//!
//! let now = Instant::now();
//! let mut gate = Gate::new(Config::default(), FixedWindow::new(1));
//! let offer = |ticket, rank| Offer {
//!     ticket,
//!     rank,
//!     tenant: "clerks".to_owned(),
//!     deadline: now + Duration::from_secs(1),
//! };
//! assert_eq!(gate.offer(offer(1, Rank::Background), now), [Action::Admit(1)]);
//! assert_eq!(gate.offer(offer(2, Rank::Background), now), []);
//! assert_eq!(gate.offer(offer(3, Rank::Urgent), now), []);
//! // The urgent query takes the freed slot, although it arrived last.
//! assert_eq!(gate.cancel(1, now), [Action::Admit(3)]);
//! ```

mod config;
mod estimate;
mod floor;
mod gate;
mod offer;
mod queue;
mod window;

pub use crate::{
    config::Config,
    gate::Gate,
    offer::{Action, LeafStats, Offer, Refusal, RefusalKind, Ticket},
    window::{AimdWindow, Bounds, FixedWindow, WindowControl},
};
