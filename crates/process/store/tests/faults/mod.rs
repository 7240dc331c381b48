//! Faults injected into the store calls of a state machine under test.

use store::Fault;

/// Fault injected into one call to the in-memory store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum InjectedFault {
    NoFault,
    ReplyLost,
    RequestLost,
    Unreachable,
}

impl InjectedFault {
    /// Runs `call` under this fault; with a lost reply it takes effect and still fails.
    pub(crate) fn apply<T>(self, call: impl FnOnce() -> Result<T, Fault>) -> Result<T, Fault> {
        let lost = || Fault::Unknown("lost".to_owned());
        match self {
            Self::NoFault => call(),
            Self::ReplyLost => {
                // The result is dropped: the client never receives it.
                let _ = call();
                Err(lost())
            }
            Self::RequestLost => Err(lost()),
            Self::Unreachable => Err(Fault::Unreachable("down".to_owned())),
        }
    }
}
