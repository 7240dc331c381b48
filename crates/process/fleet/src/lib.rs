//! The fleet: membership, relay sets, peer exchange and host life.

mod life;
mod member;
mod relay_set;
mod wire;

pub use crate::{
    life::{Life, LifeEvent, Phase},
    member::Member,
    relay_set::relay_set,
    wire::{
        Held, Peer, PeerClient, PeerRequest, PeerResponse, QueryAnswer, QueryCall, WireRows,
        PROTOCOL_VERSION,
    },
};
