//! Fields of a settings file.

use super::{Field, FieldKind, field, required};

/// Longest time that a setting may name: a day.
const LONGEST_TIME_MS: u64 = 86_400_000;
/// Largest size that a setting may name.
const LARGEST_SIZE_BYTES: u64 = 1 << 30;

const TIME: FieldKind = FieldKind::Whole { floor: 1, limit: LONGEST_TIME_MS };
const WAIT: FieldKind = FieldKind::Whole { floor: 0, limit: LONGEST_TIME_MS };
const SIZE: FieldKind = FieldKind::Whole { floor: 1_024, limit: LARGEST_SIZE_BYTES };

const LOG_LEVEL: FieldKind = FieldKind::Choice(&["off", "error", "warn", "info", "debug"]);

/// Fields of a settings file.
pub const SETTINGS_FIELDS: &[Field] = &[
    field("entry_id", FieldKind::Text, "name of the process; made at random when empty"),
    required("data_centre", FieldKind::Name, "data centre that the process runs in"),
    required("http_address", FieldKind::Address, "where callers and operators connect"),
    required("platform_address", FieldKind::Address, "where the platform's object API answers"),
    field("peer_address", FieldKind::AddressOrNone, "where other entry processes connect"),
    field("seed_peers", FieldKind::List(&FieldKind::Address), "entry processes to meet first"),
    field("metrics_address", FieldKind::AddressOrNone, "where StatsD metrics go over UDP"),
    field("log_level", LOG_LEVEL, "least severe lines that are logged"),
    field(
        "authority_certificate",
        FieldKind::Secret,
        "certificate of the entry processes' authority",
    ),
    field("authority_key", FieldKind::Secret, "key of the entry processes' authority"),
    field("resume_key", FieldKind::Secret, "key of resume tokens, the same in the whole fleet"),
    field("limits", FieldKind::Object(LIMITS_FIELDS), "limits on input and waiting"),
];

const LIMITS_FIELDS: &[Field] = &[
    field("headers_size_bytes", SIZE, "largest head of a request"),
    field("body_size_bytes", SIZE, "largest body of a request"),
    field("frame_size_bytes", SIZE, "largest message between entry processes"),
    field("request_read_timeout_ms", TIME, "time for a caller to send a whole request"),
    field("platform_timeout_ms", TIME, "time for the platform to answer"),
    field("configuration_poll_ms", TIME, "time between two slow reads of the configuration"),
    field("resume_window_ms", WAIT, "time that a broken stream is kept for its caller"),
    field("claim_retention_ms", TIME, "time for which an idempotency key is remembered"),
    field("drain_notice_ms", WAIT, "time for the balancer to notice a shutdown"),
    field("drain_timeout_ms", TIME, "longest time that a shutdown waits for streams"),
];
