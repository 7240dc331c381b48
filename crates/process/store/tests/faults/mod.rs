//! What happens to the calls of a decision that is stepped against a store in memory.

use store::Fault;

/// What happens to one call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fate {
    Fine,
    ReplyLost,
    RequestLost,
    Down,
}

impl Fate {
    /// Carries a call out, which may take effect although it fails.
    pub(crate) fn call<T>(self, effect: impl FnOnce() -> Result<T, Fault>) -> Result<T, Fault> {
        let lost = || Fault::Unknown("lost".to_owned());
        match self {
            Self::Fine => effect(),
            Self::ReplyLost => {
                // Whether it took effect is what the caller does not hear.
                let _ = effect();
                Err(lost())
            }
            Self::RequestLost => Err(lost()),
            Self::Down => Err(Fault::Unreachable("down".to_owned())),
        }
    }
}
