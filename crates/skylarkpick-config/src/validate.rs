//! Validates the values of a configuration and the references between its fields.

use crate::{
    diagnostic::Diagnostic,
    document::{Account, Configuration, Serving},
};

/// Returns a diagnostic for each error of a configuration.
///
/// ```
/// use skylarkpick_config::{Configuration, validate};
/// assert!(validate(&Configuration::default()).is_empty());
/// ```
pub fn validate(configuration: &Configuration) -> Vec<Diagnostic> {
    let mut diagnostics = Vec::new();
    check_accounts(configuration, &mut diagnostics);
    check_models(configuration, &mut diagnostics);
    check_serving(configuration, &mut diagnostics);
    check_services(configuration, &mut diagnostics);
    check_targets(configuration, &mut diagnostics);
    diagnostics
}

fn check_accounts(configuration: &Configuration, diagnostics: &mut Vec<Diagnostic>) {
    let mut seen = std::collections::BTreeMap::new();
    for (name, account) in &configuration.accounts {
        check_account(name, account, diagnostics);
        for (index, hash) in account.token_hashes.iter().enumerate() {
            let path = format!("accounts.{name}.token_hashes[{index}]");
            if hash.len() != 64 || !hash.bytes().all(|byte| byte.is_ascii_hexdigit()) {
                diagnostics.push(Diagnostic::at(
                    &path,
                    "is not a token hash",
                    "64 hexadecimal digits",
                ));
            }
            if let Some(other) = seen.insert(hash.clone(), name.clone()) {
                let message = format!("is also a token of account {other}");
                diagnostics.push(Diagnostic::at(&path, message, "a token of one account"));
            }
        }
    }
}

fn check_account(name: &str, account: &Account, diagnostics: &mut Vec<Diagnostic>) {
    let path = |field: &str| format!("accounts.{name}.{field}");
    if !(account.weight.is_finite() && account.weight > 0.0) {
        diagnostics.push(Diagnostic::at(path("weight"), "is not positive", "a number above 0"));
    }
    if account.requests_limit == 0 {
        diagnostics.push(Diagnostic::at(path("requests_limit"), "is 0", "at least 1"));
    }
    if !(account.tokens_per_second_limit.is_finite() && account.tokens_per_second_limit > 0.0) {
        let path = path("tokens_per_second_limit");
        diagnostics.push(Diagnostic::at(path, "is not positive", "a number above 0"));
    }
}

fn check_models(configuration: &Configuration, diagnostics: &mut Vec<Diagnostic>) {
    for (name, model) in &configuration.models {
        if !configuration.serving.contains_key(&model.serving) {
            diagnostics.push(Diagnostic::at(
                format!("models.{name}.serving"),
                format!("names {:?}, which does not exist", model.serving),
                "a name under `serving`",
            ));
        }
        if model.weight_version == 0 {
            let path = format!("models.{name}.weight_version");
            diagnostics.push(Diagnostic::at(path, "is 0", "a version from 1"));
        }
    }
}

fn check_serving(configuration: &Configuration, diagnostics: &mut Vec<Diagnostic>) {
    for (name, serving) in &configuration.serving {
        check_serving_entry(name, serving, diagnostics);
    }
}

fn check_serving_entry(name: &str, serving: &Serving, diagnostics: &mut Vec<Diagnostic>) {
    let path = |field: &str| format!("serving.{name}.{field}");
    let weights = [
        ("first_token_weight", serving.first_token_weight),
        ("recompute_weight", serving.recompute_weight),
        ("link_weight", serving.link_weight),
    ];
    for (field, weight) in weights {
        if !(weight.is_finite() && weight >= 0.0) {
            diagnostics.push(Diagnostic::at(path(field), "is negative", "a number from 0"));
        }
    }
    let shares = [
        ("link_share_limit", serving.link_share_limit),
        ("serving_share_floor", serving.serving_share_floor),
    ];
    for (field, share) in shares {
        if !(0.0..=1.0).contains(&share) {
            diagnostics.push(Diagnostic::at(
                path(field),
                "is out of range",
                "a number from 0 to 1",
            ));
        }
    }
    let counts = [
        ("first_token_target_ms", serving.first_token_target_ms),
        ("deadline_ms", serving.deadline_ms),
        ("attempts_limit", u64::from(serving.attempts_limit)),
        ("loads_limit", u64::from(serving.loads_limit)),
    ];
    for (field, count) in counts {
        if count == 0 {
            diagnostics.push(Diagnostic::at(path(field), "is 0", "at least 1"));
        }
    }
}

fn check_services(configuration: &Configuration, diagnostics: &mut Vec<Diagnostic>) {
    for (name, rules) in &configuration.services {
        for (index, call) in rules.not_repeatable.iter().enumerate() {
            let well_formed = call.split_once(' ').is_some_and(|(method, path)| {
                !method.is_empty()
                    && method.bytes().all(|byte| byte.is_ascii_uppercase())
                    && path.starts_with('/')
            });
            if !well_formed {
                let path = format!("services.{name}.not_repeatable[{index}]");
                diagnostics.push(Diagnostic::at(
                    path,
                    format!("{call:?} is not a valid call"),
                    "`METHOD /path`",
                ));
            }
        }
    }
}

fn check_targets(configuration: &Configuration, diagnostics: &mut Vec<Diagnostic>) {
    let mut paths_by_name = std::collections::BTreeMap::new();
    for (data_centre, targets) in &configuration.data_centres {
        let runners =
            targets.runners.iter().map(|(name, target)| ("runners", name, &target.address));
        let stores = targets.stores.iter().map(|(name, target)| ("stores", name, &target.address));
        let services =
            targets.services.iter().map(|(name, target)| ("services", name, &target.address));
        for (kind, name, address) in runners.chain(stores).chain(services) {
            let path = format!("data_centres.{data_centre}.{kind}.{name}");
            if address.parse::<std::net::SocketAddr>().is_err() {
                let path = format!("{path}.address");
                diagnostics.push(Diagnostic::at(
                    path,
                    format!("{address:?} is not a valid address"),
                    "IP:port",
                ));
            }
            if let Some(other) = paths_by_name.insert(name.clone(), path.clone()) {
                let message = format!("has the same name as {other}");
                diagnostics.push(Diagnostic::at(path, message, "a unique name for each target"));
            }
        }
        check_references(configuration, data_centre, diagnostics);
    }
}

fn check_references(
    configuration: &Configuration,
    data_centre: &str,
    diagnostics: &mut Vec<Diagnostic>,
) {
    let Some(targets) = configuration.data_centres.get(data_centre) else { return };
    for (name, runner) in &targets.runners {
        if !configuration.models.contains_key(&runner.model) {
            diagnostics.push(Diagnostic::at(
                format!("data_centres.{data_centre}.runners.{name}.model"),
                format!("names {:?}, which does not exist", runner.model),
                "a name under `models`",
            ));
        }
    }
    for (name, store) in &targets.stores {
        if !(store.link_bytes_per_second.is_finite() && store.link_bytes_per_second > 0.0) {
            let path = format!("data_centres.{data_centre}.stores.{name}.link_bytes_per_second");
            diagnostics.push(Diagnostic::at(path, "is not positive", "a number above 0"));
        }
    }
    for (name, instance) in &targets.services {
        if !configuration.services.contains_key(&instance.service) {
            diagnostics.push(Diagnostic::at(
                format!("data_centres.{data_centre}.services.{name}.service"),
                format!("names {:?}, which does not exist", instance.service),
                "a name under `services`",
            ));
        }
    }
}
