//! The records in force, as one immutable snapshot.
//!
//! A query takes the snapshot once and keeps it, so that a change of
//! configuration never reaches into a query in flight.

use {
    crate::{
        Bundle, ClaimPlaces, Head, HeadEntry, Record, RecordVersion, Revision, Route, Service,
    },
    kind::{Error, Kind, Result},
    std::{collections::BTreeMap, sync::Arc},
};

type Versions<T> = BTreeMap<RecordVersion, Arc<T>>;

/// All records in force at one revision.
#[derive(Clone, Debug, Default)]
pub struct InForce {
    bundle: Arc<Bundle>,
    routes: BTreeMap<String, Versions<Route>>,
    services: BTreeMap<String, Versions<Service>>,
}

impl InForce {
    /// Builds the snapshot of a head from the bodies of its entries.
    ///
    /// # Errors
    ///
    /// Returns the error of `body` for the first entry that has none.
    pub fn build(head: &Head, mut body: impl FnMut(&HeadEntry) -> Result<Record>) -> Result<Self> {
        let mut built = Self::default().with_bundle(Bundle {
            head: head.clone(),
            ..Bundle::default()
        });
        for entry in &head.entries {
            built.insert(body(entry)?);
        }
        Ok(built)
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

    /// Returns the head with the bodies that the snapshot was built from.
    pub fn bundle(&self) -> &Arc<Bundle> {
        &self.bundle
    }

    /// Returns whether any route is in force.
    pub fn has_routes(&self) -> bool {
        !self.routes.is_empty()
    }

    /// Finds a route by name, and by version unless the newest is wanted.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::UnknownRoute`] or [`Kind::UnknownVersion`].
    pub fn route(&self, name: &str, version: Option<RecordVersion>) -> Result<Arc<Route>> {
        let versions = self
            .routes
            .get(name)
            .ok_or_else(|| Error::new(Kind::UnknownRoute, format!("no route '{name}'")))?;
        let found = match version {
            Some(version) => versions.get(&version),
            None => versions.values().next_back(),
        };
        found.cloned().ok_or_else(|| {
            let wanted = version.unwrap_or_default();
            Error::new(
                Kind::UnknownVersion,
                format!("route '{name}' has no version {wanted} in force"),
            )
        })
    }

    /// Returns where the claims of a route stand, whichever of its versions is asked for.
    pub fn claim_places(&self, route: &str) -> ClaimPlaces {
        let versions = self.routes.get(route).into_iter().flatten();
        let claiming = versions.filter(|(_, route)| !route.repeatable);
        ClaimPlaces::of(claiming.map(|(_, route)| route.claim_writes))
    }

    /// Finds the newest record of a service.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::UnknownRecord`].
    pub fn service(&self, name: &str) -> Result<Arc<Service>> {
        self.services
            .get(name)
            .and_then(|versions| versions.values().next_back())
            .cloned()
            .ok_or_else(|| Error::new(Kind::UnknownRecord, format!("no service '{name}'")))
    }

    /// Returns the newest version of every route.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes
            .values()
            .filter_map(|versions| versions.values().next_back())
    }

    /// Returns the newest record of every service.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services
            .values()
            .filter_map(|versions| versions.values().next_back())
    }
}
