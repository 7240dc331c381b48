//! Membership, relay sets, the gossip exchange between hosts, and the host lifecycle.
//!
//! This crate contains decision logic only and does no I/O: time, random
//! numbers and messages from peers are passed in. [`Exchange`] is the
//! membership state of one host; [`relay_set`] selects the relays of a service;
//! [`RelaySelector`] orders them for one query, [`RelayOrders`] for one service; [`head_access`] and [`SourceTree`]
//! decide which hosts watch and read the store; [`Lifecycle`] is the state machine
//! of a host from start to exit. The types of the calls between hosts are
//! defined here too.

mod budget;
mod change_budget;
mod exchange;
mod fact;
mod head_watch;
mod life;
mod member;
mod message;
mod reader;
mod relay_orders;
mod relay_selector;
mod relay_set;
mod start;
mod table;
mod tenure;
mod update_queue;
mod wire;

pub use crate::{
    budget::{Budget, Purpose, SEND_BURST_BYTES, SEND_BYTES_PER_S, STARTUP_BYTES, STARTUP_TIME},
    change_budget::{ChangeBudget, SourceRequest, MAX_CHANGES_WAIT},
    exchange::{message_bytes, Exchange, ExchangeChanges, OutgoingExchange, ROUND_PAUSE},
    fact::{Fact, FactKey, Facts, MAX_FACTS, MAX_FACT_AGE, MAX_FACT_BYTES},
    head_watch::{
        first_read_pause, head_access, next_read_pause, watcher_count, HeadAccess, RetryBackoff,
    },
    life::{Lifecycle, LifecycleEvent, Phase},
    member::{Entry, EntryVersion, Incarnation, Liveness, Member},
    message::{MalformedReport, Message, WireEntry, WireFact, WireMessage, WireReport},
    reader::{SourceTree, StoreSource, FAN_OUT},
    relay_orders::{RelayKey, RelayOrders},
    relay_selector::{HostState, Outcome, RelaySelector, FAILURE_MEMORY},
    relay_set::{eligible, place_holders, relay_count, relay_set, RelayLimits},
    start::retry_after_start,
    table::{
        GroupId, GroupReport, MergeOutcome, Progress, Table, GROUPS, LEFT_RETENTION,
        LOST_RETENTION, SUSPECT_TIMEOUT,
    },
    tenure::Tenure,
    update_queue::{Update, UpdateQueue},
    wire::{
        is_supported_version, ClaimCall, ClaimReply, Held, Peer, PeerClient, PeerRequest,
        PeerResponse, QueryAnswer, QueryCall, WireError, WireOutcome, WireRows, PROTOCOL_VERSION,
    },
};
