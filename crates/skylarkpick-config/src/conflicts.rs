//! Detects settings that are valid on their own but conflict with each other.

use crate::{diagnostic::Diagnostic, settings::Settings};

/// Returns a diagnostic for each conflict between settings.
///
/// ```
/// use skylarkpick_config::{Settings, find_conflicts};
/// let mut settings = Settings::default();
/// assert!(find_conflicts(&settings).is_empty());
/// settings.limits.drain_notice_ms = settings.limits.drain_timeout_ms + 1;
/// assert_eq!(find_conflicts(&settings)[0].path, "limits.drain_notice_ms");
/// ```
pub fn find_conflicts(settings: &Settings) -> Vec<Diagnostic> {
    let limits = &settings.limits;
    let mut diagnostics = Vec::new();
    if limits.drain_notice_ms > limits.drain_timeout_ms {
        diagnostics.push(longer_than(
            ("limits.drain_notice_ms", limits.drain_notice_ms),
            ("drain_timeout_ms", limits.drain_timeout_ms),
        ));
    }
    if limits.headers_size_bytes > limits.body_size_bytes {
        let message = format!(
            "({}) is larger than `body_size_bytes` ({})",
            limits.headers_size_bytes, limits.body_size_bytes
        );
        let expected = "at most `body_size_bytes`";
        diagnostics.push(Diagnostic::at("limits.headers_size_bytes", message, expected));
    }
    if !settings.seed_peers.is_empty() && settings.peer_address.is_empty() {
        let message = "lists peers, but `peer_address` is not set";
        diagnostics.push(Diagnostic::at(
            "seed_peers",
            message,
            "a `peer_address`, or an empty list",
        ));
    }
    diagnostics.extend(check_authority(settings));
    diagnostics.extend(check_shared_address(settings));
    diagnostics
}

fn longer_than((path, value): (&str, u64), (other, other_value): (&str, u64)) -> Diagnostic {
    let message = format!("({value} ms) is longer than `{other}` ({other_value} ms)");
    Diagnostic::at(path, message, &format!("at most `{other}`"))
}

/// Peers authenticate each other only by certificates of the authority, so that peers need its
/// certificate and key, and an authority needs a `peer_address`.
fn check_authority(settings: &Settings) -> Vec<Diagnostic> {
    let secrets = [
        ("authority_certificate", settings.authority_certificate.is_some()),
        ("authority_key", settings.authority_key.is_some()),
    ];
    let has_peers = !settings.peer_address.is_empty();
    let is_needed = has_peers || secrets.iter().any(|(_, is_set)| *is_set);
    let missing = secrets.iter().filter(|(_, is_set)| is_needed && !is_set);
    let mut diagnostics: Vec<Diagnostic> = missing
        .map(|(path, _)| {
            let message = "is missing; peers could not be authenticated";
            Diagnostic::at(*path, message, "{\"path\": \"FILE\"} or {\"environment\": \"NAME\"}")
        })
        .collect();
    if is_needed && !has_peers {
        let message = "is missing, although an authority for peers is set";
        diagnostics.push(Diagnostic::at("peer_address", message, "IP:port, or no authority"));
    }
    diagnostics
}

/// Detects that the process would listen on the address of the platform.
fn check_shared_address(settings: &Settings) -> Option<Diagnostic> {
    let is_shared =
        !settings.http_address.is_empty() && settings.http_address == settings.platform_address;
    is_shared.then(|| {
        let message = "is also the `platform_address`";
        Diagnostic::at("http_address", message, "a different address")
    })
}
