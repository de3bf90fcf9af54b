//! Schema of a settings file.

use super::{Field, FieldKind, field, required};

/// Maximum of settings that are a time: one day.
const MAX_TIME_MS: u64 = 86_400_000;
/// Maximum of settings that are a size: 1 GiB.
const MAX_SIZE_BYTES: u64 = 1 << 30;

const TIME: FieldKind = FieldKind::Integer { min: 1, max: MAX_TIME_MS };
const OPTIONAL_TIME: FieldKind = FieldKind::Integer { min: 0, max: MAX_TIME_MS };
const SIZE: FieldKind = FieldKind::Integer { min: 1_024, max: MAX_SIZE_BYTES };

const LOG_LEVEL: FieldKind = FieldKind::Choice(&["off", "error", "warn", "info", "debug"]);

/// Fields of a settings file.
pub const SETTINGS_FIELDS: &[Field] = &[
    field("entry_id", FieldKind::Text, "name of the process; generated at random if empty"),
    required("data_centre", FieldKind::NonEmptyText, "data centre that the process runs in"),
    required("http_address", FieldKind::Address, "listen address for callers and operators"),
    required("platform_address", FieldKind::Address, "address of the platform's object API"),
    field("peer_address", FieldKind::OptionalAddress, "listen address for other entry processes"),
    field(
        "seed_peers",
        FieldKind::List(&FieldKind::Address),
        "entry processes to contact at startup",
    ),
    field(
        "metrics_address",
        FieldKind::OptionalAddress,
        "address that StatsD metrics are sent to over UDP",
    ),
    field("log_level", LOG_LEVEL, "minimum severity of logged lines"),
    field(
        "authority_certificate",
        FieldKind::Secret,
        "certificate of the entry processes' authority",
    ),
    field("authority_key", FieldKind::Secret, "key of the entry processes' authority"),
    field("resume_key", FieldKind::Secret, "key of resume tokens, shared by the whole fleet"),
    field("limits", FieldKind::Object(LIMITS_FIELDS), "size limits and timeouts"),
];

const LIMITS_FIELDS: &[Field] = &[
    field("headers_size_bytes", SIZE, "size limit of the headers of a request"),
    field("body_size_bytes", SIZE, "size limit of the body of a request"),
    field("frame_size_bytes", SIZE, "size limit of a message between entry processes"),
    field("request_read_timeout_ms", TIME, "time limit for a caller to send a complete request"),
    field("platform_timeout_ms", TIME, "timeout of platform calls"),
    field("configuration_poll_ms", TIME, "interval of the fallback poll of the configuration"),
    field(
        "resume_window_ms",
        OPTIONAL_TIME,
        "time that a disconnected stream is retained for its caller",
    ),
    field("claim_retention_ms", TIME, "retention time of idempotency keys"),
    field("drain_notice_ms", OPTIONAL_TIME, "time for the load balancer to notice a shutdown"),
    field("drain_timeout_ms", TIME, "maximum time that a shutdown waits for open streams"),
];
