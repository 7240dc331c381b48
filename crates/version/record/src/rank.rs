//! Priority ranks of requests and a container for one value per rank.

use {
    kind::{Error, Kind},
    serde::{Deserialize, Serialize},
    std::str::FromStr,
};

/// Priority of a request. Ranks are ordered from the most to the least urgent.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Rank {
    /// Takes precedence over all other requests.
    Urgent,
    /// The default priority.
    #[default]
    Routine,
    /// May be delayed, but must not be starved.
    Background,
}

impl Rank {
    /// All ranks, from the most to the least urgent.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Routine, Self::Background];

    /// Returns the name used on the wire.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Routine => "routine",
            Self::Background => "background",
        }
    }

    /// Returns the index in [`Rank::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }
}

impl FromStr for Rank {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|rank| rank.as_str() == text)
            .ok_or_else(|| {
                Error::new(
                    Kind::BadRank,
                    format!("unknown rank '{text}', expected urgent, routine or background"),
                )
            })
    }
}

/// One value for each rank.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ByRank<T>([T; 3]);

impl<T> ByRank<T> {
    /// Creates a value for each rank by calling `value` with the rank.
    pub fn from_fn(mut value: impl FnMut(Rank) -> T) -> Self {
        Self(Rank::ALL.map(&mut value))
    }

    /// Returns the value for `rank`.
    pub fn get(&self, rank: Rank) -> &T {
        &self.0[rank.index()]
    }

    /// Returns a mutable reference to the value for `rank`.
    pub fn get_mut(&mut self, rank: Rank) -> &mut T {
        &mut self.0[rank.index()]
    }

    /// Returns an iterator over the ranks and their values, from the most to the least urgent.
    pub fn iter(&self) -> impl Iterator<Item = (Rank, &T)> {
        Rank::ALL.into_iter().zip(&self.0)
    }
}
