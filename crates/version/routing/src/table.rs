//! One version of the configuration, indexed for lookups.

use {
    crate::{
        ApiKey, RawCallerLimits, RawTable, RawWorkspace, Route, ServiceName, WarmUpLimit, Workspace,
    },
    kind::{Error, Kind, Result},
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// Version of a table; higher versions supersede lower ones.
pub type TableVersion = u64;

/// Connections that a server is assumed to accept if its service sets no limit;
/// deliberately low.
const DEFAULT_CONNECTION_LIMIT: u32 = 16;

/// Size and time limits for the requests of a caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time to receive a request head.
    pub header_timeout: Duration,
    /// Maximum time without a request on a connection.
    pub idle_timeout: Duration,
}

impl From<RawCallerLimits> for CallerLimits {
    fn from(raw: RawCallerLimits) -> Self {
        Self {
            max_header_bytes: usize::try_from(raw.max_header_bytes).unwrap_or(usize::MAX),
            max_body_bytes: usize::try_from(raw.max_body_bytes).unwrap_or(usize::MAX),
            header_timeout: Duration::from_millis(raw.header_timeout_ms),
            idle_timeout: Duration::from_millis(raw.idle_timeout_ms),
        }
    }
}

/// One validated version of the configuration.
#[derive(Clone, Debug)]
pub struct Table {
    version: TableVersion,
    /// Routes of each host name, the longest prefix first.
    by_hostname: HashMap<String, Vec<Arc<Route>>>,
    connection_limits: HashMap<ServiceName, u32>,
    warm_up_limits: HashMap<ServiceName, WarmUpLimit>,
    caller_limits: CallerLimits,
    /// `None` if callers need no key.
    workspaces: Option<Workspaces>,
}

/// The workspaces of a table.
#[derive(Clone, Debug, Default)]
struct Workspaces {
    by_key: HashMap<ApiKey, Arc<Workspace>>,
    by_name: HashMap<Arc<str>, Arc<Workspace>>,
    /// Whether any of them has a quota.
    has_quotas: bool,
}

impl Table {
    /// Returns the version of the table.
    pub fn version(&self) -> TableVersion {
        self.version
    }

    /// Returns the limits on what callers may send.
    pub fn caller_limits(&self) -> CallerLimits {
        self.caller_limits
    }

    /// Returns the route of a request with the longest matching prefix.
    ///
    /// `host` may include a port.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let hostname = without_port(host);
        let routes = match self.by_hostname.get(hostname) {
            Some(routes) => routes,
            // Host names are case-insensitive. Most callers send lower case, which the
            // first lookup finds without an allocation.
            None => self.by_hostname.get(&hostname.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the route with the given name.
    pub fn route(&self, name: &str) -> Option<&Arc<Route>> {
        self.routes().find(|route| &*route.name == name)
    }

    /// Returns whether callers identify their workspace by a key.
    pub fn has_workspaces(&self) -> bool {
        self.workspaces.is_some()
    }

    /// Returns whether any workspace has a quota.
    pub fn has_quotas(&self) -> bool {
        let workspaces = self.workspaces.as_ref();
        workspaces.is_some_and(|workspaces| workspaces.has_quotas)
    }

    /// Returns the workspace with the given name.
    pub fn workspace(&self, name: &str) -> Option<&Arc<Workspace>> {
        self.workspaces.as_ref()?.by_name.get(name)
    }

    /// Returns the workspace of a request to `route` with the given key, or `None`
    /// if the request belongs to none.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::BadToken`] if the request needs a key and `key` is missing or
    /// unknown.
    pub fn identify(&self, route: &Route, key: Option<&str>) -> Result<Option<&Arc<Workspace>>> {
        let Some(workspaces) = &self.workspaces else {
            return Ok(None);
        };
        let workspace = key.and_then(|key| workspaces.by_key.get(key));
        if workspace.is_some() || route.is_public {
            return Ok(workspace);
        }
        let problem = key.map_or("no key", |_| "an unknown key");
        let detail = format!("the request has {problem} in version {}", self.version);
        Err(Error::new(Kind::BadToken, detail))
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.by_hostname.values().flatten()
    }

    /// Returns the number of connections that each server of a service accepts
    /// from all hosts together.
    pub fn connection_limit(&self, service: &ServiceName) -> u32 {
        let limit = self.connection_limits.get(service).copied();
        limit.unwrap_or(DEFAULT_CONNECTION_LIMIT)
    }

    /// Returns the limits on requests to cold servers, of the services that set one.
    pub fn warm_up_limits(&self) -> &HashMap<ServiceName, WarmUpLimit> {
        &self.warm_up_limits
    }
}

impl TryFrom<RawTable> for Table {
    type Error = Error;

    fn try_from(raw: RawTable) -> Result<Self> {
        let mut by_hostname: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in raw.routes {
            let route = Route::try_from(route)?;
            let routes = by_hostname.entry(route.hostname.clone()).or_default();
            routes.push(Arc::new(route));
        }
        for routes in by_hostname.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut warm_up_limits = HashMap::new();
        for (service, warm_up) in raw.warm_ups {
            if let Some(limit) = WarmUpLimit::from_raw(&service, warm_up)? {
                warm_up_limits.insert(service.as_str().into(), limit);
            }
        }
        let connection_limits = raw.connection_limits.into_iter();
        let workspaces = raw.workspaces.map(Workspaces::try_from).transpose()?;
        Ok(Self {
            version: raw.version,
            by_hostname,
            connection_limits: connection_limits
                .map(|(name, limit)| (name.as_str().into(), limit))
                .collect(),
            warm_up_limits,
            caller_limits: raw.caller_limits.into(),
            workspaces,
        })
    }
}

impl TryFrom<Vec<RawWorkspace>> for Workspaces {
    type Error = Error;

    fn try_from(raw: Vec<RawWorkspace>) -> Result<Self> {
        let mut workspaces = Self::default();
        for raw in raw {
            let keys = raw.keys.clone();
            let workspace = Arc::new(Workspace::try_from(raw)?);
            let name = Arc::clone(&workspace.name);
            workspaces.has_quotas |= workspace.quota.is_some();
            for key in keys {
                let known = workspaces.by_key.insert(key, Arc::clone(&workspace));
                if let Some(known) = known.filter(|known| known.name != name) {
                    let detail = format!("workspaces {} and {name} share a key", known.name);
                    return Err(Error::new(Kind::BadRecord, detail));
                }
            }
            if workspaces.by_name.insert(name, workspace).is_some() {
                let detail = "two workspaces have the same name";
                return Err(Error::new(Kind::BadRecord, detail));
            }
        }
        Ok(workspaces)
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
