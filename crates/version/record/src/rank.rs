//! The three ranks of work and values kept for each of them.

use {
    kind::{Error, Kind},
    serde::{Deserialize, Serialize},
    std::str::FromStr,
};

/// Rank of a request; smaller is more urgent.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Rank {
    /// Work that goes before everything else.
    Urgent,
    /// Ordinary work.
    #[default]
    Routine,
    /// Work that may wait but must not vanish.
    Background,
}

impl Rank {
    /// All ranks, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Routine, Self::Background];

    /// Returns the name used on the wire.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Routine => "routine",
            Self::Background => "background",
        }
    }

    /// Returns the position in [`Rank::ALL`].
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
                    format!("'{text}' is none of urgent, routine, background"),
                )
            })
    }
}

/// One value for each rank.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ByRank<T>([T; 3]);

impl<T> ByRank<T> {
    /// Creates the values from a function of the rank.
    pub fn from_fn(mut value: impl FnMut(Rank) -> T) -> Self {
        Self(Rank::ALL.map(&mut value))
    }

    /// Returns the value for `rank`.
    pub fn get(&self, rank: Rank) -> &T {
        &self.0[rank.index()]
    }

    /// Returns the value for `rank` for a change.
    pub fn get_mut(&mut self, rank: Rank) -> &mut T {
        &mut self.0[rank.index()]
    }

    /// Returns the ranks with their values, the most urgent first.
    pub fn iter(&self) -> impl Iterator<Item = (Rank, &T)> {
        Rank::ALL.into_iter().zip(&self.0)
    }
}
