//! Whether the caller of a request may still send it.

use {
    crate::{exchange::OutgoingRequest, shared::Shared, Adapter},
    kind::{Error, Kind, Result},
    routing::{ApiKey, Route, TableVersion, Workspace},
    std::{
        cell::{Cell, RefCell},
        time::{Duration, Instant},
    },
};

/// Value of `Retry-After` while keys cannot be checked: about the time that a store
/// needs to answer again.
const UNCONFIRMED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// What a request was identified by, and the version in which it was last checked.
#[derive(Debug)]
pub(crate) struct Identity {
    /// `None` if the caller sent no key, or sent it to another host.
    key: Option<ApiKey>,
    version: Cell<TableVersion>,
    /// Why the request must not be sent any longer.
    refusal: RefCell<Option<Error>>,
}

impl Identity {
    /// Creates the identity of a request that was checked in `version` of the
    /// configuration.
    pub(crate) fn new(key: Option<&str>, version: TableVersion) -> Self {
        Self {
            key: key.map(ApiKey::from),
            version: Cell::new(version),
            refusal: RefCell::default(),
        }
    }

    /// Records why the request was not sent.
    pub(crate) fn on_refused(&self, error: Error) {
        self.refusal.replace(Some(error));
    }

    /// Returns why the request was not sent, if it was refused.
    pub(crate) fn take_refusal(&self) -> Option<Error> {
        self.refusal.take()
    }
}

/// Checks that a key may be used with the configuration that this host has.
///
/// # Errors
///
/// Returns [`Kind::StoreDown`] if the settings ask for strict revocation and the
/// configuration was not confirmed for too long.
pub(crate) fn check_age<A: Adapter>(shared: &Shared<A>, has_key: bool) -> Result<()> {
    let Some(max_age) = shared.settings.max_key_age.filter(|_| has_key) else {
        return Ok(());
    };
    let age = shared.store_cache.borrow().age(Instant::now());
    if age.is_some_and(|age| age < max_age) {
        return Ok(());
    }
    let age_ms = age.unwrap_or(Duration::MAX).as_millis();
    let detail = format!("the configuration was last confirmed {age_ms} ms ago");
    Err(Error::new(Kind::StoreDown, detail).with_retry_after(UNCONFIRMED_RETRY_AFTER))
}

/// Checks that a request may still be sent under the configuration in force, which may
/// be newer than the one under which it was accepted.
///
/// # Errors
///
/// Returns [`Kind::UnknownRoute`] if its route was dropped, [`Kind::BadToken`] if its
/// key was removed or given to another workspace, and the errors of [`check_age`].
pub(crate) fn check_send<A: Adapter>(shared: &Shared<A>, outgoing: &OutgoingRequest) -> Result<()> {
    let identity = &outgoing.identity;
    check_age(shared, outgoing.workspace.is_some())?;
    let Some(table) = shared.table() else {
        return Ok(());
    };
    let version = table.version();
    if version == identity.version.get() {
        return Ok(());
    }
    if table.has_workspaces() || outgoing.workspace.is_some() {
        let route = table.route(&outgoing.route.name).ok_or_else(|| {
            let detail = format!("{} was dropped by version {version}", outgoing.route.name);
            Error::new(Kind::UnknownRoute, detail)
        })?;
        let removed = || {
            let detail = format!("the key was removed by version {version}");
            Error::new(Kind::BadToken, detail)
        };
        let workspace = outgoing.workspace.as_deref();
        let is_valid = match &identity.key {
            Some(key) => is_same(
                table.identify(route, Some(key.as_str()))?.map(|w| &**w),
                workspace,
            ),
            None => is_known(&table, route, workspace)?,
        };
        if !is_valid {
            return Err(removed());
        }
    }
    identity.version.set(version);
    Ok(())
}

fn is_same(current: Option<&Workspace>, accepted: Option<&Workspace>) -> bool {
    current.map(|workspace| &workspace.name) == accepted.map(|workspace| &workspace.name)
}

/// Returns whether a request without a key of its own is valid: one to a public route,
/// or one that another host has identified.
fn is_known(table: &routing::Table, route: &Route, workspace: Option<&Workspace>) -> Result<bool> {
    match workspace {
        Some(workspace) => Ok(table.workspace(&workspace.name).is_some()),
        None => table.identify(route, None).map(|_| true),
    }
}
