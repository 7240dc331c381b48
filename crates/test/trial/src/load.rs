//! Offered load.

use {
    record::{ByRank, Rank},
    std::time::Duration,
};

/// Load by rank, as a share of the capacity of the service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Offered queries over the capacity.
    pub share: ByRank<f64>,
    /// Deadline of a query.
    pub deadline: ByRank<Duration>,
    /// Factor on the execution times of one server in ten; 1 is none.
    pub slow_factor: u32,
    /// What is wrong with the first server.
    pub weakness: Weakness,
}

/// What is wrong with one server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Weakness {
    /// Nothing.
    None,
    /// It has half the slots that the record states.
    HalfSlots,
    /// It has half the slots and sheds what finds none free.
    NoQueue,
    /// It sheds everything.
    Shedding,
}

/// Floors of a flood are offered this often, so that the floor is what limits.
const OVER_FLOOR: f64 = 2.0;
/// A flood over the capacity.
const FLOOD: f64 = 10.0;

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
            weakness: Weakness::None,
        }
    }

    /// Returns a load of 90% of the capacity, most of it background work.
    pub fn busy() -> Self {
        let mut load = Self::calm();
        *load.share.get_mut(Rank::Background) = 0.6;
        load
    }

    /// Returns the calm load with one server in ten slowed ten times.
    pub fn straggler() -> Self {
        Self {
            slow_factor: 10,
            ..Self::calm()
        }
    }

    /// Returns background work at ten times the capacity over the calm load.
    pub fn flood_of_background() -> Self {
        let mut load = Self::calm();
        *load.share.get_mut(Rank::Background) = FLOOD;
        load
    }

    /// Returns urgent work at ten times the capacity beside more of the others than their floors.
    pub fn flood_of_urgent(floor_share: &ByRank<f64>) -> Self {
        let mut load = Self::calm();
        load.share = ByRank::from_fn(|rank| floor_share.get(rank) * OVER_FLOOR);
        *load.share.get_mut(Rank::Urgent) = FLOOD;
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
