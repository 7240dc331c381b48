//! Slots, to which workspaces are mapped by hash.

use {std::fmt, xxhash_rust::xxh3::xxh3_64};

/// Number of slots. The loss of an issuer affects one workspace in four, and the
/// leases of all slots together take three writes of the store a second.
pub const SLOTS: u8 = 4;

/// Number of a slot, below [`SLOTS`].
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Slot(u8);

impl Slot {
    /// Returns the slot of a workspace, the same on all hosts.
    pub fn of(workspace: &str) -> Self {
        let slot = xxh3_64(workspace.as_bytes()) % u64::from(SLOTS);
        Self(u8::try_from(slot).unwrap_or_default())
    }

    /// Returns the slot with this number, or `None` if there is none.
    pub fn new(number: u8) -> Option<Self> {
        (number < SLOTS).then_some(Self(number))
    }

    /// Returns all slots.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..SLOTS).map(Self)
    }

    /// Returns the number of the slot.
    pub fn number(self) -> u8 {
        self.0
    }

    /// Returns the number of the slot as an index.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

impl fmt::Display for Slot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
