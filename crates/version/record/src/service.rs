//! Validated service records.

use {
    crate::{
        invalid_field,
        limits::MAX_SHARDS,
        route::{check_name, check_range},
        IndexVersion, RawIndex, RawRecord, RawServer, RawShard, RecordVersion, ServerAddr, ShardId,
        ZoneId,
    },
    kind::{Error, Result},
    std::collections::HashSet,
};

const MAX_CONNECTION_LIMIT: u64 = 100_000;
const MAX_SLOTS: u64 = 10_000;
const MAX_RELAYS: u64 = 10_000;

/// A validated service, which lists the servers of each shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Version of the record.
    pub version: RecordVersion,
    /// Maximum number of connections that each server accepts.
    pub connection_limit: u32,
    /// Maximum number of requests that each server executes concurrently.
    pub slots: u32,
    /// Number of hosts that act as relays for the service; `None` selects the default.
    pub relays: Option<u32>,
    /// Available versions of the index, newest first.
    pub indexes: Vec<Index>,
}

/// One version of an index and its partition into shards.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Index {
    /// Version of the index.
    pub version: IndexVersion,
    /// Shards, sorted by number.
    pub shards: Vec<Shard>,
}

/// One shard of an index.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Shard {
    /// Number of the shard.
    pub id: ShardId,
    /// Servers that hold the shard.
    pub servers: Vec<Server>,
}

/// One upstream server.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Server {
    /// Address of the server.
    pub addr: ServerAddr,
    /// Availability zone of the server.
    pub zone: ZoneId,
}

impl TryFrom<RawRecord> for Service {
    type Error = Error;

    fn try_from(raw: RawRecord) -> Result<Self> {
        check_name("name", &raw.name)?;
        let body = raw
            .service
            .ok_or_else(|| invalid_field("service", "the record is not a service"))?;
        check_range(
            "service.connection_limit",
            body.connection_limit.into(),
            1,
            MAX_CONNECTION_LIMIT,
        )?;
        check_range("service.slots", body.slots.into(), 1, MAX_SLOTS)?;
        check_range("service.relays", body.relays.into(), 0, MAX_RELAYS)?;
        Ok(Self {
            name: raw.name,
            version: raw.version,
            connection_limit: body.connection_limit,
            slots: body.slots,
            relays: Some(body.relays).filter(|relays| *relays > 0),
            indexes: validate_indexes(body.indexes)?,
        })
    }
}

fn validate_indexes(raw: Vec<RawIndex>) -> Result<Vec<Index>> {
    if raw.is_empty() {
        return Err(invalid_field(
            "service.indexes",
            "at least one index is required",
        ));
    }
    let mut seen = HashSet::new();
    let mut indexes = Vec::with_capacity(raw.len());
    for (i, index) in raw.into_iter().enumerate() {
        let path = format!("service.indexes[{i}]");
        if !seen.insert(index.version) {
            return Err(invalid_field(
                &path,
                format!("duplicate index version {}", index.version),
            ));
        }
        indexes.push(validate_index(&path, index)?);
    }
    indexes.sort_by_key(|index| std::cmp::Reverse(index.version));
    Ok(indexes)
}

fn validate_index(path: &str, raw: RawIndex) -> Result<Index> {
    if raw.shards.is_empty() || raw.shards.len() > MAX_SHARDS {
        return Err(invalid_field(
            &format!("{path}.shards"),
            format!("{} shards, expected 1 to {MAX_SHARDS}", raw.shards.len()),
        ));
    }
    let mut seen = HashSet::new();
    let mut shards = Vec::with_capacity(raw.shards.len());
    for (i, shard) in raw.shards.into_iter().enumerate() {
        let path = format!("{path}.shards[{i}]");
        if !seen.insert(shard.id) {
            return Err(invalid_field(
                &path,
                format!("duplicate shard {}", shard.id),
            ));
        }
        shards.push(validate_shard(&path, shard)?);
    }
    shards.sort_by_key(|shard| shard.id);
    Ok(Index {
        version: raw.version,
        shards,
    })
}

fn validate_shard(path: &str, raw: RawShard) -> Result<Shard> {
    if raw.servers.is_empty() {
        return Err(invalid_field(
            &format!("{path}.servers"),
            "at least one server is required",
        ));
    }
    let mut seen = HashSet::new();
    let mut servers = Vec::with_capacity(raw.servers.len());
    for (i, server) in raw.servers.into_iter().enumerate() {
        let path = format!("{path}.servers[{i}]");
        let server = validate_server(&path, server)?;
        if !seen.insert(server.addr) {
            return Err(invalid_field(
                &path,
                format!("duplicate server address {}", server.addr),
            ));
        }
        servers.push(server);
    }
    Ok(Shard {
        id: raw.id,
        servers,
    })
}

fn validate_server(path: &str, raw: RawServer) -> Result<Server> {
    let addr = raw.addr.parse().map_err(|_| {
        invalid_field(
            &format!("{path}.addr"),
            format!("'{}' is not an IP address with a port", raw.addr),
        )
    })?;
    check_name(&format!("{path}.zone"), &raw.zone)?;
    Ok(Server {
        addr,
        zone: raw.zone,
    })
}
