//! Settings that are right alone and wrong together.

use crate::{diagnostic::Diagnostic, settings::Settings};

/// Finds settings that contradict each other.
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
    let mut faults = Vec::new();
    if limits.drain_notice_ms > limits.drain_timeout_ms {
        faults.push(longer(
            ("limits.drain_notice_ms", limits.drain_notice_ms),
            ("drain_timeout_ms", limits.drain_timeout_ms),
        ));
    }
    if limits.headers_size_bytes > limits.body_size_bytes {
        let message = format!(
            "({}) is larger than `body_size_bytes` ({})",
            limits.headers_size_bytes, limits.body_size_bytes
        );
        let expected = "a head no larger than `body_size_bytes`";
        faults.push(Diagnostic::at("limits.headers_size_bytes", message, expected));
    }
    if !settings.seed_peers.is_empty() && settings.peer_address.is_empty() {
        let message = "names peers, but there is no `peer_address` to meet them from";
        faults.push(Diagnostic::at("seed_peers", message, "a `peer_address`, or no seeds"));
    }
    faults.extend(authority_faults(settings));
    faults.extend(shared_address(settings));
    faults
}

fn longer((path, value): (&str, u64), (other, other_value): (&str, u64)) -> Diagnostic {
    let message = format!("({value} ms) is longer than `{other}` ({other_value} ms)");
    Diagnostic::at(path, message, &format!("at most `{other}`"))
}

/// Entry processes trust each other by an authority alone, of which all parts are needed.
fn authority_faults(settings: &Settings) -> Vec<Diagnostic> {
    let parts = [
        ("authority_certificate", settings.authority_certificate.is_some()),
        ("authority_key", settings.authority_key.is_some()),
    ];
    let has_peers = !settings.peer_address.is_empty();
    let is_needed = has_peers || parts.iter().any(|(_, is_given)| *is_given);
    let missing = parts.iter().filter(|(_, is_given)| is_needed && !is_given);
    let mut faults: Vec<Diagnostic> = missing
        .map(|(path, _)| {
            let message = "is missing, and peers would not be told from strangers";
            Diagnostic::at(*path, message, "{\"path\": \"FILE\"} or {\"environment\": \"NAME\"}")
        })
        .collect();
    if is_needed && !has_peers {
        let message = "is missing, though there is an authority for peers";
        faults.push(Diagnostic::at("peer_address", message, "IP:port, or no authority"));
    }
    faults
}

/// The port of the platform cannot be a port of this process.
fn shared_address(settings: &Settings) -> Option<Diagnostic> {
    let is_shared =
        !settings.http_address.is_empty() && settings.http_address == settings.platform_address;
    is_shared.then(|| {
        let message = "is also the `platform_address`";
        Diagnostic::at("http_address", message, "an address of its own")
    })
}
