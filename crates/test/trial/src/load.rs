//! Offered load.

use {
    record::{ByRank, Rank},
    std::time::Duration,
};

/// Offered load by rank.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Offered queries as a share of the capacity of the service.
    pub share: ByRank<f64>,
    /// Deadline of a query.
    pub deadline: ByRank<Duration>,
    /// Factor on the execution times of one server in ten; 1 slows none.
    pub slow_factor: u32,
    /// Fault of the first server.
    pub server_fault: ServerFault,
}

/// Fault of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerFault {
    /// No fault.
    None,
    /// Half the slots that the record states.
    HalfSlots,
    /// Half the slots, and calls are shed when none is free.
    NoQueue,
    /// Every call is shed.
    Shedding,
}

/// Load of the other ranks in an urgent flood, as a multiple of their floors; above 1, so that
/// the floor limits them.
const FLOOR_LOAD_FACTOR: f64 = 2.0;
/// Load of a flooding rank over the capacity.
const FLOOD_SHARE: f64 = 10.0;

impl Load {
    /// Returns a load of 40% of the capacity.
    pub fn calm() -> Self {
        Self {
            share: by_rank(0.1, 0.2, 0.1),
            deadline: by_rank(
                Duration::from_secs(1),
                Duration::from_secs(2),
                Duration::from_secs(5),
            ),
            slow_factor: 1,
            server_fault: ServerFault::None,
        }
    }

    /// Returns a load of 90% of the capacity, most of it background work.
    pub fn busy() -> Self {
        let mut load = Self::calm();
        *load.share.get_mut(Rank::Background) = 0.6;
        load
    }

    /// Returns the calm load with one server in ten slowed down tenfold.
    pub fn straggler() -> Self {
        Self {
            slow_factor: 10,
            ..Self::calm()
        }
    }

    /// Returns the calm load with background work at ten times the capacity.
    pub fn flood_of_background() -> Self {
        let mut load = Self::calm();
        *load.share.get_mut(Rank::Background) = FLOOD_SHARE;
        load
    }

    /// Returns urgent work at ten times the capacity, with the other ranks above their floors.
    pub fn flood_of_urgent(floor_share: &ByRank<f64>) -> Self {
        let mut load = Self::calm();
        load.share = ByRank::from_fn(|rank| floor_share.get(rank) * FLOOR_LOAD_FACTOR);
        *load.share.get_mut(Rank::Urgent) = FLOOD_SHARE;
        load
    }
}

/// Returns one value for each rank, the most urgent first.
pub(crate) fn by_rank<T: Copy>(urgent: T, routine: T, background: T) -> ByRank<T> {
    ByRank::from_fn(|rank| match rank {
        Rank::Urgent => urgent,
        Rank::Routine => routine,
        Rank::Background => background,
    })
}
