//! Checked service records.

use {
    crate::{
        bad_field,
        limits::MAX_SHARDS,
        route::{check_between, check_name},
        IndexVersion, RawIndex, RawRecord, RawServer, RawShard, RecordVersion, ServerAddr, ShardId,
        ZoneId,
    },
    kind::{Error, Result},
    std::collections::HashSet,
};

const MAX_CONNECTION_LIMIT: u64 = 100_000;
const MAX_SLOTS: u64 = 10_000;
const MAX_RELAYS: u64 = 10_000;

/// A checked service: where its shards live.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Version of the record.
    pub version: RecordVersion,
    /// Number of connections that each server accepts.
    pub connection_limit: u32,
    /// Number of requests that each server executes at once.
    pub slots: u32,
    /// Number of relays; `None` takes the default of the release.
    pub relays: Option<u32>,
    /// Indexes in force, the newest first.
    pub indexes: Vec<Index>,
}

/// One version of an index with its partition map.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Index {
    /// Version of the index.
    pub version: IndexVersion,
    /// Shards, by rising number.
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
    /// Address.
    pub addr: ServerAddr,
    /// Availability zone.
    pub zone: ZoneId,
}

impl TryFrom<RawRecord> for Service {
    type Error = Error;

    fn try_from(raw: RawRecord) -> Result<Self> {
        check_name("name", &raw.name)?;
        let body = raw
            .service
            .ok_or_else(|| bad_field("service", "the record is not a service"))?;
        check_between(
            "service.connection_limit",
            body.connection_limit.into(),
            1,
            MAX_CONNECTION_LIMIT,
        )?;
        check_between("service.slots", body.slots.into(), 1, MAX_SLOTS)?;
        check_between("service.relays", body.relays.into(), 0, MAX_RELAYS)?;
        Ok(Self {
            name: raw.name,
            version: raw.version,
            connection_limit: body.connection_limit,
            slots: body.slots,
            relays: Some(body.relays).filter(|relays| *relays > 0),
            indexes: checked_indexes(body.indexes)?,
        })
    }
}

fn checked_indexes(raw: Vec<RawIndex>) -> Result<Vec<Index>> {
    if raw.is_empty() {
        return Err(bad_field("service.indexes", "at least one is needed"));
    }
    let mut seen = HashSet::new();
    let mut indexes = Vec::with_capacity(raw.len());
    for (i, index) in raw.into_iter().enumerate() {
        let path = format!("service.indexes[{i}]");
        if !seen.insert(index.version) {
            return Err(bad_field(
                &path,
                format!("version {} stands twice", index.version),
            ));
        }
        indexes.push(checked_index(&path, index)?);
    }
    indexes.sort_by_key(|index| std::cmp::Reverse(index.version));
    Ok(indexes)
}

fn checked_index(path: &str, raw: RawIndex) -> Result<Index> {
    if raw.shards.is_empty() || raw.shards.len() > MAX_SHARDS {
        return Err(bad_field(
            &format!("{path}.shards"),
            format!("{} shards, allowed are 1 to {MAX_SHARDS}", raw.shards.len()),
        ));
    }
    let mut seen = HashSet::new();
    let mut shards = Vec::with_capacity(raw.shards.len());
    for (i, shard) in raw.shards.into_iter().enumerate() {
        let path = format!("{path}.shards[{i}]");
        if !seen.insert(shard.id) {
            return Err(bad_field(&path, format!("shard {} stands twice", shard.id)));
        }
        shards.push(checked_shard(&path, shard)?);
    }
    shards.sort_by_key(|shard| shard.id);
    Ok(Index {
        version: raw.version,
        shards,
    })
}

fn checked_shard(path: &str, raw: RawShard) -> Result<Shard> {
    if raw.servers.is_empty() {
        return Err(bad_field(
            &format!("{path}.servers"),
            "at least one is needed",
        ));
    }
    let mut seen = HashSet::new();
    let mut servers = Vec::with_capacity(raw.servers.len());
    for (i, server) in raw.servers.into_iter().enumerate() {
        let path = format!("{path}.servers[{i}]");
        let server = checked_server(&path, server)?;
        if !seen.insert(server.addr) {
            return Err(bad_field(&path, format!("{} stands twice", server.addr)));
        }
        servers.push(server);
    }
    Ok(Shard {
        id: raw.id,
        servers,
    })
}

fn checked_server(path: &str, raw: RawServer) -> Result<Server> {
    let addr = raw.addr.parse().map_err(|_| {
        bad_field(
            &format!("{path}.addr"),
            format!("'{}' is not an IP number with a port", raw.addr),
        )
    })?;
    check_name(&format!("{path}.zone"), &raw.zone)?;
    Ok(Server {
        addr,
        zone: raw.zone,
    })
}
