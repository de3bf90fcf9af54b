//! Index of the serving document by host, path and API key.

use http::Uri;
use skylarkpick_interface::{
    ClientLimits, Destination, ServingAccount, ServingDocument, ServingRoute,
};
use std::{collections::HashMap, sync::Arc, time::Duration};

/// Serving document with indexes for route and account lookups.
pub(crate) struct ServingIndex {
    pub(crate) document: ServingDocument,
    /// Routes by host, longest path prefix first.
    routes: HashMap<String, Vec<Arc<ServingRoute>>>,
    /// Client accounts by API key.
    accounts: HashMap<String, Arc<ServingAccount>>,
    /// The longest [`stream_window`] of a route.
    stream_window: Duration,
}

/// Number of route timeouts that a stream may last: its first attempt and its resumption.
const STREAM_TIMEOUTS: u32 = 2;
/// Time that a stream may last whatever its route's timeout is now: the timeout may have been longer when
/// it began, and clients may wait for longer than it.
const STREAM_WINDOW_FLOOR: Duration = Duration::from_secs(30);

/// Returns the longest time from the first event of a stream to the last attempt to resume it.
pub(crate) fn stream_window(route: &ServingRoute) -> Duration {
    (route.timeout * STREAM_TIMEOUTS).max(STREAM_WINDOW_FLOOR)
}

impl ServingIndex {
    pub(crate) fn open(document: ServingDocument) -> ServingIndex {
        let mut routes: HashMap<String, Vec<Arc<ServingRoute>>> = HashMap::new();
        for route in &document.routes {
            let host = route.host.to_ascii_lowercase();
            routes.entry(host).or_default().push(Arc::new(route.clone()));
        }
        for host_routes in routes.values_mut() {
            host_routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let mut accounts = HashMap::new();
        for account in document.accounts.iter().flatten() {
            let shared = Arc::new(account.clone());
            let keys = account.keys.iter().cloned();
            accounts.extend(keys.map(|key| (key, shared.clone())));
        }
        let stream_window = document.routes.iter().map(stream_window).max().unwrap_or_default();
        ServingIndex { document, routes, accounts, stream_window }
    }

    pub(crate) fn version(&self) -> u64 {
        self.document.version
    }

    /// Returns the longest time that a stream of any route may last.
    pub(crate) fn stream_window(&self) -> Duration {
        self.stream_window
    }

    pub(crate) fn limits(&self) -> &ClientLimits {
        &self.document.limits
    }

    /// Returns the matching route with the longest path prefix.
    pub(crate) fn route(&self, host: &str, uri: &Uri) -> Option<Arc<ServingRoute>> {
        let path = uri.path();
        let host_routes = self.routes.get(host)?;
        host_routes.iter().find(|route| path.starts_with(&route.path_prefix)).cloned()
    }

    /// Returns whether requests are authenticated by API keys.
    pub(crate) fn uses_keys(&self) -> bool {
        self.document.accounts.is_some()
    }

    /// Returns the client account of an API key.
    pub(crate) fn account(&self, key: &str) -> Option<Arc<ServingAccount>> {
        self.accounts.get(key).cloned()
    }
}

/// Picks a destination by weight. `sample` is a random number in [0, 1).
pub(crate) fn pick_destination(destinations: &[Destination], sample: f64) -> Option<&Destination> {
    let total: u32 = destinations.iter().map(|it| it.weight).sum();
    let mut remaining = sample * f64::from(total);
    for destination in destinations {
        remaining -= f64::from(destination.weight);
        if remaining < 0.0 {
            return Some(destination);
        }
    }
    destinations.last()
}
