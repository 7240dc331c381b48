//! The fleet: membership, relay sets, peer exchange and host life.
//!
//! Everything here decides and does no I/O: time, random numbers and what
//! peers say are passed in. [`Exchange`] is the state of membership on one
//! host; [`relay_set`] picks the relays of a service; [`Choice`] orders them
//! for one query; [`head_duty`] says who watches the store; [`Life`] takes a host from start to exit. The types of the
//! calls between hosts are here too.

mod budget;
mod choice;
mod exchange;
mod fact;
mod head_watch;
mod life;
mod member;
mod message;
mod reader;
mod relay_set;
mod rumour;
mod table;
mod wire;

pub use crate::{
    budget::{Budget, Purpose, SEND_BURST_BYTES, SEND_BYTES_PER_S, YOUNG_BYTES, YOUNG_TIME},
    choice::{Choice, Outcome, Track, FAILURE_MEMORY},
    exchange::{message_bytes, Exchange, Learned, Outgoing, ROUND_PAUSE},
    fact::{Fact, FactKey, Facts, MAX_FACTS, MAX_FACT_AGE, MAX_FACT_BYTES},
    head_watch::{
        first_read_pause, head_duty, next_read_pause, watcher_count, HeadDuty, RetryPause,
    },
    life::{Life, LifeEvent, Phase},
    member::{Entry, EntryVersion, Incarnation, Member, Standing},
    message::{MalformedReport, Message, WireEntry, WireFact, WireMessage, WireReport},
    reader::{reader_duty, ReaderDuty},
    relay_set::{eligible, relay_count, relay_set, RelayLimits},
    rumour::{Rumour, Rumours},
    table::{
        GroupId, GroupReport, Merged, Progress, Table, GROUPS, LEFT_RETENTION, LOST_RETENTION,
        SUSPECT_TIMEOUT,
    },
    wire::{
        is_spoken, ClaimCall, ClaimReply, Held, Peer, PeerClient, PeerRequest, PeerResponse,
        QueryAnswer, QueryCall, WireError, WireOutcome, WireRows, PROTOCOL_VERSION,
    },
};
