//! Configuration records: schema versions, validation, the head and the rules for adopting it.
//!
//! Operators write records as TOML files; hosts and the platform's store
//! exchange them as JSON. Both are parsed into [`RawRecord`], which `TryFrom`
//! validates and converts into [`Record`]. Code that uses a [`Record`] does
//! not have to validate it again.
//!
//! A record is in force while the [`Head`] has an entry for it.

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
    adopt::{check_adoption, Adoption, Source},
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
    operation::{Action, BodyRef, Change, Operation, OperationId, OperationInfo, Precondition},
    rank::{ByRank, Rank},
    raw::{
        RawCoverage, RawFloors, RawHedge, RawIndex, RawRecord, RawRoute, RawServer, RawService,
        RawShard,
    },
    route::{check_name, ClaimLocations, ClaimWriteMode, Coverage, Hedge, IncompletePolicy, Route},
    service::{Index, Server, Service, Shard},
};

use kind::{Error, Kind, Result};

/// A validated record of any kind.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// Defines how callers query a service.
    Route(Route),
    /// Lists the servers that hold the shards of a service.
    Service(Service),
}

impl Record {
    /// Parses and validates a record in the TOML format that operators write.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::BadRecord`] for malformed text, or, with the path to the
    /// field, for an unknown field or an invalid value. Returns
    /// [`Kind::RecordTooLarge`] if the text exceeds [`MAX_RECORD_BYTES`].
    pub fn from_toml(text: &str) -> Result<Self> {
        Self::try_from(RawRecord::from_toml(text)?)
    }

    /// Parses and validates a record in the JSON format used on the wire.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`Record::from_toml`].
    pub fn from_json(text: &str) -> Result<Self> {
        Self::try_from(RawRecord::from_json(text)?)
    }

    /// Returns the unique identifier of the record.
    pub fn id(&self) -> RecordId {
        RecordId {
            kind: self.kind(),
            name: self.name().to_owned(),
            version: self.version(),
        }
    }

    /// Returns the service that the record refers to, if it is a route.
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

/// Creates a [`Kind::BadRecord`] error for the field at `path`.
pub(crate) fn invalid_field(path: &str, problem: impl std::fmt::Display) -> Error {
    Error::new(Kind::BadRecord, format!("{path}: {problem}"))
}
