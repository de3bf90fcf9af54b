//! Checks docs/openapi.json against the route table and the failure codes, and real responses
//! against docs/openapi.json.

use super::harness::Harness;
use crate::{
    api::{
        response::status_of,
        routes::{Access, ROUTES},
    },
    failure::{FailureCode, Ran},
};
use serde_json::{Value, json};
use std::collections::BTreeSet;

fn document() -> Value {
    serde_json::from_str(include_str!("../../../../../docs/openapi.json")).unwrap()
}

/// Resolves a `$ref`.
fn resolve<'a>(document: &'a Value, schema: &'a Value) -> &'a Value {
    match schema["$ref"].as_str() {
        Some(path) => document.pointer(path.trim_start_matches('#')).unwrap(),
        None => schema,
    }
}

fn type_of(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "boolean",
        Value::Number(number) if number.is_f64() => "number",
        Value::Number(_) => "integer",
        Value::String(_) => "string",
        Value::Array(_) => "array",
        Value::Object(_) => "object",
    }
}

/// Checks a value against a schema, field by field.
fn validate(document: &Value, path: &str, value: &Value, schema: &Value) {
    let schema = resolve(document, schema);
    let types: Vec<&str> = match &schema["type"] {
        Value::String(one) => vec![one],
        Value::Array(many) => many.iter().filter_map(Value::as_str).collect(),
        _ => return,
    };
    assert!(types.contains(&type_of(value)), "{path}: {value} is none of {types:?}");
    if let Some(allowed) = schema["enum"].as_array() {
        assert!(allowed.contains(value), "{path}: {value} is none of {allowed:?}");
    }
    for (index, element) in value.as_array().into_iter().flatten().enumerate() {
        validate(document, &format!("{path}[{index}]"), element, &schema["items"]);
    }
    let Some(object) = value.as_object() else { return };
    for name in schema["required"].as_array().into_iter().flatten() {
        assert!(object.contains_key(name.as_str().unwrap()), "{path} has no field {name}");
    }
    for (name, field) in object {
        let known = &schema["properties"][name];
        let is_known = !known.is_null() || schema["additionalProperties"] == json!(true);
        assert!(is_known, "{path}.{name} is not described");
        validate(document, &format!("{path}.{name}"), field, known);
    }
}

fn validate_as(name: &str, value: &Value) {
    let document = document();
    let schema = &document["components"]["schemas"][name];
    assert!(schema.is_object(), "{name} is not described");
    validate(&document, name, value, schema);
}

#[test]
fn openapi_lists_exactly_the_served_paths_and_methods() {
    let document = document();
    let described: BTreeSet<(String, String)> = document["paths"]
        .as_object()
        .unwrap()
        .iter()
        .flat_map(|(path, methods)| {
            let methods = methods.as_object().unwrap().keys();
            methods.map(move |method| (path.replace("{path}", "*"), method.to_uppercase()))
        })
        .collect();
    let served: BTreeSet<(String, String)> = ROUTES
        .iter()
        .flat_map(|route| {
            let pair = |method: &&str| (route.path.to_string(), method.to_string());
            route.methods.iter().map(pair)
        })
        .collect();
    assert_eq!(described, served);
    for route in ROUTES {
        let methods = document["paths"][route.path.replace('*', "{path}")].as_object().unwrap();
        let needs_no_token = methods.values().all(|operation| operation["security"] == json!([]));
        assert_eq!(needs_no_token, route.access == Access::Anyone, "{}", route.path);
    }
}

/// Returns the code after `code`. The match is exhaustive, so a new code does not compile until it
/// is listed here and checked against the document.
fn next(code: FailureCode) -> Option<FailureCode> {
    Some(match code {
        FailureCode::BadRequest => FailureCode::Unauthorized,
        FailureCode::Unauthorized => FailureCode::Forbidden,
        FailureCode::Forbidden => FailureCode::NotFound,
        FailureCode::NotFound => FailureCode::Expired,
        FailureCode::Expired => FailureCode::MethodNotAllowed,
        FailureCode::MethodNotAllowed => FailureCode::RequestTimeout,
        FailureCode::RequestTimeout => FailureCode::Conflict,
        FailureCode::Conflict => FailureCode::TooLarge,
        FailureCode::TooLarge => FailureCode::LimitReached,
        FailureCode::LimitReached => FailureCode::DeadlineExceeded,
        FailureCode::DeadlineExceeded => FailureCode::NoTarget,
        FailureCode::NoTarget => FailureCode::TargetFailed,
        FailureCode::TargetFailed => FailureCode::PlatformAway,
        FailureCode::PlatformAway => FailureCode::NotReady,
        FailureCode::NotReady => return None,
    })
}

#[test]
fn openapi_and_interface_page_list_every_failure_code() {
    let page = include_str!("../../../../../docs/INTERFACE.md");
    let codes = std::iter::successors(Some(FailureCode::BadRequest), |code| next(*code));
    let served: Vec<Value> = codes
        .map(|code| {
            let name = serde_json::to_value(code).unwrap();
            let row = format!("| `{}` | {} |", name.as_str().unwrap(), status_of(code).as_u16());
            assert!(page.contains(&row), "docs/INTERFACE.md has no row {row}");
            name
        })
        .collect();
    let document = document();
    let failure = &document["components"]["schemas"]["Failure"]["properties"];
    assert_eq!(failure["code"]["enum"], json!(served));
    let ran: Vec<Value> = [Ran::NotRun, Ran::Ran, Ran::Unknown]
        .iter()
        .map(|ran| serde_json::to_value(ran).unwrap())
        .collect();
    assert_eq!(failure["ran"]["enum"], json!(ran));
}

#[test]
fn openapi_examples_match_their_schemas() {
    fn visit(document: &Value, value: &Value) -> usize {
        let own = match (value.get("schema"), value.get("example")) {
            (Some(schema), Some(example)) => {
                validate(document, "example", example, schema);
                1
            }
            _ => 0,
        };
        let inner = match value {
            Value::Object(object) => object.values().map(|value| visit(document, value)).sum(),
            Value::Array(array) => array.iter().map(|value| visit(document, value)).sum(),
            _ => 0,
        };
        own + inner
    }
    let document = document();
    assert!(visit(&document, &document) >= 3);
}

#[tokio::test]
async fn responses_match_their_openapi_schemas() {
    let harness = Harness::spawn().await;
    let prompt = json!({"model": "tala-llm", "prompt": "orbit", "max_tokens": 2}).to_string();
    let patch = json!({"patch_id": "p1", "base_version": 1, "change": {}}).to_string();
    struct Case<'a> {
        request: (&'a str, &'a str, &'a str, &'a str),
        schema: &'static str,
    }
    let cases = [
        Case {
            request: ("POST", "/v1/completions", "cubesat-token", &prompt),
            schema: "Completion",
        },
        Case {
            request: ("POST", "/v1/completions", "cubesat-token", "{}"),
            schema: "FailureAnswer",
        },
        Case { request: ("GET", "/nowhere", "cubesat-token", ""), schema: "FailureAnswer" },
        Case { request: ("GET", "/v1/configuration", "ground-token", ""), schema: "Configuration" },
        Case {
            request: ("PATCH", "/v1/configuration", "ground-token", &patch),
            schema: "AcceptedPatch",
        },
        Case {
            request: ("GET", "/v1/configuration/history", "ground-token", ""),
            schema: "History",
        },
        Case {
            request: ("GET", "/v1/configuration/status", "ground-token", ""),
            schema: "ConfigurationStatus",
        },
        Case { request: ("GET", "/state", "ground-token", ""), schema: "State" },
    ];
    for case in cases {
        let (method, path, token, body) = case.request;
        let (_, value) = harness.send(method, path, token, body).await;
        validate_as(case.schema, &value);
    }
    harness.server.shutdown().await;
}
