//! Records: schema versions, checked records, the manifest and the order of adoption.
//!
//! Operators write records as TOML files; hosts and the platform's store
//! exchange them as JSON. Both are raw input. [`Record`] is the checked form,
//! built once by `TryFrom` and then used without further checks.

mod adopt;
mod bundle;
mod head;
mod id;
mod in_force;
mod limits;
mod operation;
mod rank;
mod raw;
mod raw_v1;
mod route;
mod service;

pub use crate::{
    adopt::{judge, Source, Verdict},
    bundle::{Bundle, WireBundle},
    head::{
        Generation, Head, HeadEntry, HeadId, RecordId, RecordKind, MAX_HEAD_BYTES, MAX_OPERATIONS,
        RESERVED_HEAD_BYTES,
    },
    id::{
        HostId, IndexVersion, RecordVersion, RegionId, Revision, ServerAddr, ShardId, TenantId,
        ZoneId,
    },
    in_force::InForce,
    limits::{MAX_RECORD_BYTES, MAX_SHARDS},
    operation::{Action, Change, NamedBody, Operation, OperationId, Precondition, Stamp},
    rank::{ByRank, Rank},
    raw::{
        RawCoverage, RawFloors, RawHedge, RawIndex, RawRecord, RawRoute, RawServer, RawService,
        RawShard,
    },
    route::{check_name, ClaimPlaces, ClaimWrites, Coverage, Hedge, Route, WhenShort},
    service::{Index, Server, Service, Shard},
};

use kind::{Error, Kind, Result};

/// A checked record of any kind.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// How callers reach a service.
    Route(Route),
    /// Where the shards of a service live.
    Service(Service),
}

impl Record {
    /// Reads a record from the TOML text that operators write.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::BadRecord`] with the path to the field for malformed
    /// text, unknown fields and values out of range.
    pub fn from_toml(text: &str) -> Result<Self> {
        Self::try_from(RawRecord::from_toml(text)?)
    }

    /// Reads a record from the JSON text used on the wire.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::BadRecord`] as [`Record::from_toml`] does.
    pub fn from_json(text: &str) -> Result<Self> {
        Self::try_from(RawRecord::from_json(text)?)
    }

    /// Returns what tells the record from all others.
    pub fn id(&self) -> RecordId {
        RecordId {
            kind: self.kind(),
            name: self.name().to_owned(),
            version: self.version(),
        }
    }

    /// Returns the service that the record names, if it is a route.
    pub fn named_service(&self) -> Option<&String> {
        match self {
            Self::Route(route) => Some(&route.service),
            Self::Service(_) => None,
        }
    }

    /// Returns the kind of the record.
    pub fn kind(&self) -> RecordKind {
        match self {
            Self::Route(_) => RecordKind::Route,
            Self::Service(_) => RecordKind::Service,
        }
    }

    /// Returns the name of the record.
    pub fn name(&self) -> &str {
        match self {
            Self::Route(route) => &route.name,
            Self::Service(service) => &service.name,
        }
    }

    /// Returns the version of the record.
    pub fn version(&self) -> RecordVersion {
        match self {
            Self::Route(route) => route.version,
            Self::Service(service) => service.version,
        }
    }
}

/// Creates the error for a field that does not pass its check.
pub(crate) fn bad_field(path: &str, problem: impl std::fmt::Display) -> Error {
    Error::new(Kind::BadRecord, format!("{path}: {problem}"))
}
