//! An immutable snapshot of all records in force.
//!
//! A query takes one snapshot and uses it until it ends, so that a change of
//! configuration never affects a query that is already running.

use {
    crate::{
        Bundle, ClaimLocations, Head, HeadEntry, Record, RecordVersion, Revision, Route, Service,
    },
    kind::{Error, Kind, Result},
    std::{collections::BTreeMap, sync::Arc},
};

type Versions<T> = BTreeMap<RecordVersion, Arc<T>>;

/// All records in force at one revision of the head.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    bundle: Arc<Bundle>,
    routes: BTreeMap<String, Versions<Route>>,
    services: BTreeMap<String, Versions<Service>>,
}

impl InForce {
    /// Builds a snapshot of `head`, calling `body` to obtain the record of each entry.
    ///
    /// # Errors
    ///
    /// Returns the first error that `body` returns.
    pub fn build(head: &Head, mut body: impl FnMut(&HeadEntry) -> Result<Record>) -> Result<Self> {
        let mut snapshot = Self::default().with_bundle(Bundle {
            head: head.clone(),
            ..Bundle::default()
        });
        for entry in &head.entries {
            snapshot.insert(body(entry)?);
        }
        Ok(snapshot)
    }

    /// Replaces the bundle that the snapshot was built from.
    pub(crate) fn with_bundle(mut self, bundle: Bundle) -> Self {
        self.bundle = Arc::new(bundle);
        self
    }

    fn insert(&mut self, record: Record) {
        match record {
            Record::Route(route) => {
                let versions = self.routes.entry(route.name.clone()).or_default();
                versions.insert(route.version, Arc::new(route));
            }
            Record::Service(service) => {
                let versions = self.services.entry(service.name.clone()).or_default();
                versions.insert(service.version, Arc::new(service));
            }
        }
    }

    /// Returns the revision of the head.
    pub fn revision(&self) -> Revision {
        self.head().revision
    }

    /// Returns the head.
    pub fn head(&self) -> &Head {
        &self.bundle.head
    }

    /// Returns the bundle that the snapshot was built from.
    pub fn bundle(&self) -> &Arc<Bundle> {
        &self.bundle
    }

    /// Returns whether any route is in force.
    pub fn has_routes(&self) -> bool {
        !self.routes.is_empty()
    }

    /// Returns a version of a route, or its newest version if `version` is `None`.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::UnknownRoute`] or [`Kind::UnknownVersion`].
    pub fn route(&self, name: &str, version: Option<RecordVersion>) -> Result<Arc<Route>> {
        let versions = self.routes.get(name).ok_or_else(|| {
            Error::new(Kind::UnknownRoute, format!("route '{name}' does not exist"))
        })?;
        let found = match version {
            Some(version) => versions.get(&version),
            None => versions.values().next_back(),
        };
        found.cloned().ok_or_else(|| {
            let requested = version.unwrap_or_default();
            Error::new(
                Kind::UnknownVersion,
                format!("route '{name}' has no version {requested} in force"),
            )
        })
    }

    /// Returns where the claims of a route are stored, considering all of its versions.
    pub fn claim_locations(&self, route: &str) -> ClaimLocations {
        let versions = self.routes.get(route).into_iter().flatten();
        let non_repeatable = versions.filter(|(_, route)| !route.repeatable);
        ClaimLocations::of(non_repeatable.map(|(_, route)| route.claim_write_mode))
    }

    /// Returns the newest version of a service.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::UnknownRecord`].
    pub fn service(&self, name: &str) -> Result<Arc<Service>> {
        self.services
            .get(name)
            .and_then(|versions| versions.values().next_back())
            .cloned()
            .ok_or_else(|| {
                Error::new(
                    Kind::UnknownRecord,
                    format!("service '{name}' does not exist"),
                )
            })
    }

    /// Returns the newest version of every route.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes
            .values()
            .filter_map(|versions| versions.values().next_back())
    }

    /// Returns the newest version of every service.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services
            .values()
            .filter_map(|versions| versions.values().next_back())
    }
}
