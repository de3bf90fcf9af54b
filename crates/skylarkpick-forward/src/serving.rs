//! The serving document, arranged for looking up.

use http::Uri;
use skylarkpick_interface::{
    ClientLimits, Destination, ServingAccount, ServingDocument, ServingRoute,
};
use std::{collections::HashMap, sync::Arc};

/// The serving document, arranged for looking up.
pub(crate) struct Serving {
    pub(crate) document: ServingDocument,
    /// Routes of each host, those with the longest prefix first.
    routes: HashMap<String, Vec<Arc<ServingRoute>>>,
    accounts: HashMap<String, Arc<ServingAccount>>,
}

impl Serving {
    pub(crate) fn open(document: ServingDocument) -> Serving {
        let mut routes: HashMap<String, Vec<Arc<ServingRoute>>> = HashMap::new();
        for route in &document.routes {
            let host = route.host.to_ascii_lowercase();
            routes.entry(host).or_default().push(Arc::new(route.clone()));
        }
        for of_host in routes.values_mut() {
            of_host.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let mut accounts = HashMap::new();
        for account in document.accounts.iter().flatten() {
            let shared = Arc::new(account.clone());
            let keys = account.keys.iter().cloned();
            accounts.extend(keys.map(|key| (key, shared.clone())));
        }
        Serving { document, routes, accounts }
    }

    pub(crate) fn version(&self) -> u64 {
        self.document.version
    }

    pub(crate) fn limits(&self) -> &ClientLimits {
        &self.document.limits
    }

    /// The route of a request, the one with the longest prefix.
    pub(crate) fn route(&self, host: &str, uri: &Uri) -> Option<Arc<ServingRoute>> {
        let path = uri.path();
        let of_host = self.routes.get(host)?;
        of_host.iter().find(|route| path.starts_with(&route.path_prefix)).cloned()
    }

    /// Whether requests carry keys at all.
    pub(crate) fn wants_keys(&self) -> bool {
        self.document.accounts.is_some()
    }

    /// The client account that a key acts for.
    pub(crate) fn account(&self, key: &str) -> Option<Arc<ServingAccount>> {
        self.accounts.get(key).cloned()
    }
}

/// The destination that a number from 0 to below 1 falls on, by the destinations' shares.
pub(crate) fn pick_destination(destinations: &[Destination], at: f64) -> Option<&Destination> {
    let total: u32 = destinations.iter().map(|it| it.weight).sum();
    let mut point = at * f64::from(total);
    for destination in destinations {
        point -= f64::from(destination.weight);
        if point < 0.0 {
            return Some(destination);
        }
    }
    destinations.last()
}
