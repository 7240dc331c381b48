//! Workspaces of callers, their quotas and the regions that may serve them.

use {
    crate::RawWorkspace,
    kind::{Error, Kind, Result},
    std::{borrow::Borrow, fmt, sync::Arc},
};

/// A validated workspace, the unit to which quotas and priorities apply.
#[derive(Clone, Debug, PartialEq)]
pub struct Workspace {
    /// Name of the workspace, which servers receive.
    pub name: Arc<str>,
    /// Priority of its requests; `None` for the priority of their route.
    pub priority: Option<u32>,
    /// Limit on its requests, `None` if there is none.
    pub quota: Option<Quota>,
    /// Regions in which its requests may be served.
    pub allowed_regions: AllowedRegions,
}

/// Limit on the requests that all hosts together send for a workspace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests per second.
    pub rate_per_s: f64,
    /// Requests beyond that rate that may be sent at once.
    pub burst: f64,
}

/// Key by which callers identify their workspace. It is a secret, so that its value is
/// in no log line and no error.
#[derive(Clone, Eq, Hash, PartialEq)]
pub struct ApiKey(Box<str>);

impl ApiKey {
    /// Returns the value.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for ApiKey {
    fn from(value: &str) -> Self {
        Self(value.into())
    }
}

impl From<String> for ApiKey {
    fn from(value: String) -> Self {
        Self(value.into())
    }
}

impl Borrow<str> for ApiKey {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey")
    }
}

/// Regions in which requests may be served, reference-counted so that clones are
/// cheap.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AllowedRegions {
    /// `None` if all regions are allowed.
    regions: Option<Arc<[String]>>,
}

impl AllowedRegions {
    /// All regions.
    pub const EVERYWHERE: Self = Self { regions: None };

    /// Returns whether requests may be served in `region`, which is `None` if the
    /// region is not known.
    pub fn allows(&self, region: Option<&str>) -> bool {
        match &self.regions {
            None => true,
            Some(regions) => region.is_some_and(|region| regions.iter().any(|r| r == region)),
        }
    }

    /// Returns whether all regions are allowed.
    pub fn is_everywhere(&self) -> bool {
        self.regions.is_none()
    }

    /// Returns the regions that both `self` and `other` allow.
    pub fn intersection(&self, other: &Self) -> Self {
        match (&self.regions, &other.regions) {
            (None, _) => other.clone(),
            (_, None) => self.clone(),
            (Some(own), Some(_)) => {
                let both = own.iter().filter(|region| other.allows(Some(region)));
                Self {
                    regions: Some(both.cloned().collect()),
                }
            }
        }
    }
}

impl From<Vec<String>> for AllowedRegions {
    /// Converts a list of regions; an empty one allows all.
    fn from(regions: Vec<String>) -> Self {
        Self {
            regions: (!regions.is_empty()).then(|| regions.into()),
        }
    }
}

impl TryFrom<RawWorkspace> for Workspace {
    type Error = Error;

    fn try_from(raw: RawWorkspace) -> Result<Self> {
        let invalid = |problem: &str| {
            let detail = format!("workspace '{}': {problem}", raw.name);
            Error::new(Kind::BadRecord, detail)
        };
        let is_visible = |byte: u8| byte.is_ascii_graphic();
        if raw.name.is_empty() || !raw.name.bytes().all(is_visible) {
            return Err(invalid("the name is not a sequence of visible characters"));
        }
        if raw.keys.iter().any(|key| key.as_str().is_empty()) {
            return Err(invalid("a key is empty"));
        }
        let is_count = |value: f64| value.is_finite() && value >= 0.0;
        if !is_count(raw.rate_per_s) || !is_count(raw.burst) {
            return Err(invalid("the rate or the burst is negative or not finite"));
        }
        Ok(Self {
            name: raw.name.as_str().into(),
            priority: raw.priority,
            quota: (raw.rate_per_s > 0.0).then_some(Quota {
                rate_per_s: raw.rate_per_s,
                burst: raw.burst,
            }),
            allowed_regions: raw.allowed_regions.into(),
        })
    }
}
