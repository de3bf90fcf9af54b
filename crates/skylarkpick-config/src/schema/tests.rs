//! The schemas match the types that they describe and the default settings file.

use super::{CONFIGURATION_FIELDS, Field, FieldKind, SETTINGS_FIELDS};
use crate::{
    Account, Configuration, DataCentre, Model, RunnerTarget, ServiceRules, ServiceTarget, Serving,
    Settings, StoreTarget,
};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

fn names(fields: &[Field]) -> BTreeSet<String> {
    fields.iter().map(|field| field.name.to_string()).collect()
}

/// Fails if the fields of a serialised type differ from those of its schema.
fn compare(path: &str, value: &Value, fields: &[Field]) {
    let object = value.as_object().unwrap_or_else(|| panic!("{path} is not an object"));
    let keys: BTreeSet<String> = object.keys().cloned().collect();
    assert_eq!(keys, names(fields), "{path}: the fields of the schema and of the type differ");
    for field in fields {
        compare_kind(&format!("{path}.{}", field.name), &object[field.name], &field.kind);
    }
}

fn compare_kind(path: &str, value: &Value, kind: &FieldKind) {
    match kind {
        FieldKind::Object(fields) => compare(path, value, fields),
        FieldKind::Map(element) => {
            let object = value.as_object().unwrap_or_else(|| panic!("{path} is not an object"));
            assert!(!object.is_empty(), "{path} is empty, so that no entry is compared");
            for (name, value) in object {
                compare_kind(&format!("{path}.{name}"), value, element);
            }
        }
        _ => {}
    }
}

fn one<T>(value: T) -> BTreeMap<String, T> {
    BTreeMap::from([("one".to_string(), value)])
}

fn full_configuration() -> Configuration {
    let address = "127.0.0.1:1".to_string();
    let model = Model {
        weight_version: 1,
        also_served_weight_versions: Vec::new(),
        adapters: Vec::new(),
        serving: "one".to_string(),
        context_bytes_per_token: 1,
    };
    let data_centre = DataCentre {
        region: String::new(),
        runners: one(RunnerTarget {
            address: address.clone(),
            model: "one".to_string(),
            checks_fencing: true,
        }),
        stores: one(StoreTarget { address: address.clone(), link_bytes_per_second: 1.0 }),
        services: one(ServiceTarget { address, service: "one".to_string() }),
    };
    Configuration {
        accounts: one(Account::default()),
        models: one(model),
        serving: one(Serving::default()),
        services: one(ServiceRules::default()),
        data_centres: one(data_centre),
    }
}

#[test]
fn schema_fields_match_the_serialised_types() {
    let settings = serde_json::to_value(Settings::default()).unwrap();
    compare("settings", &settings, SETTINGS_FIELDS);
    let configuration = serde_json::to_value(full_configuration()).unwrap();
    compare("configuration", &configuration, CONFIGURATION_FIELDS);
}

#[test]
fn default_file_lists_every_field_with_a_comment() {
    let text = include_str!("../../../../config/default.jsonc");
    let value: Value = jsonc_parser::parse_to_serde_value(text, &Default::default()).unwrap();
    compare("default.jsonc", &value, SETTINGS_FIELDS);
    let lines: Vec<&str> = text.lines().map(str::trim).collect();
    for pair in lines.windows(2).filter(|pair| pair[1].starts_with('"')) {
        assert!(pair[0].starts_with("//"), "{} has no comment above it", pair[1]);
    }
}

#[test]
fn every_field_has_a_description() {
    fn check(path: &str, fields: &[Field]) {
        for field in fields {
            assert!(!field.description.is_empty(), "{path}.{}", field.name);
            match field.kind {
                FieldKind::Object(inner) => check(field.name, inner),
                FieldKind::Map(FieldKind::Object(inner)) => check(field.name, inner),
                _ => {}
            }
        }
    }
    check("settings", SETTINGS_FIELDS);
    check("configuration", CONFIGURATION_FIELDS);
}
