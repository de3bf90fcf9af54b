//! Fields of a configuration document.

use super::{Field, Kind, field, required};

const COUNT: Kind = Kind::Whole { floor: 1, limit: u32::MAX as u64 };
const SHARE: Kind = Kind::Number { floor: 0.0, limit: 1.0 };
const WEIGHT: Kind = Kind::Number { floor: 0.0, limit: 1e9 };
const RATE: Kind = Kind::Number { floor: 0.0, limit: 1e15 };
const TIME: Kind = Kind::Whole { floor: 1, limit: 86_400_000 };
const BYTES: Kind = Kind::Whole { floor: 0, limit: u64::MAX };
const VERSION: Kind = Kind::Whole { floor: 1, limit: u64::MAX };

/// Fields of a configuration document.
pub const CONFIGURATION_FIELDS: &[Field] = &[
    field("accounts", Kind::Map(&Kind::Object(ACCOUNT_FIELDS)), "client accounts by name"),
    field("models", Kind::Map(&Kind::Object(MODEL_FIELDS)), "models by name"),
    field("serving", Kind::Map(&Kind::Object(SERVING_FIELDS)), "serving configurations by name"),
    field("services", Kind::Map(&Kind::Object(SERVICE_FIELDS)), "rules of plain services by name"),
    field("data_centres", Kind::Map(&Kind::Object(DATA_CENTRE_FIELDS)), "targets by data centre"),
];

const ACCOUNT_FIELDS: &[Field] = &[
    field("role", Kind::Choice(&["caller", "operator"]), "what the account may do"),
    field("token_hashes", Kind::List(&Kind::Name), "hashes of the account's tokens"),
    field("weight", WEIGHT, "share of a full fleet in proportion to other accounts"),
    field("requests_limit", COUNT, "requests queued or running at once"),
    field("tokens_per_second_limit", RATE, "estimated tokens that may be started in a second"),
    field("saved_bytes_limit", BYTES, "bytes of saved prefixes in the stores"),
];

const MODEL_FIELDS: &[Field] = &[
    required("weight_version", VERSION, "weights that the runners are brought to"),
    field("also_served_weight_versions", Kind::List(&VERSION), "other weights still served"),
    field("adapters", Kind::List(&Kind::Name), "adapters that requests may name"),
    required("serving", Kind::Name, "name of the serving configuration"),
    field("context_bytes_per_token", BYTES, "bytes of cached context for each token"),
];

const SERVING_FIELDS: &[Field] = &[
    field("first_token_weight", WEIGHT, "weight of the time to first token"),
    field("recompute_weight", WEIGHT, "weight of the recomputed share"),
    field("link_weight", WEIGHT, "weight of bytes over a store's link"),
    field("first_token_target_ms", TIME, "time to first token to aim for"),
    field("deadline_ms", TIME, "time after which a request is given up"),
    field("attempts_limit", COUNT, "attempts for a repeatable request"),
    field("retry_percent_limit", Kind::Whole { floor: 0, limit: 100 }, "retries per cent"),
    field("saving", Kind::Flag, "whether prefixes are saved to stores"),
    field("link_share_limit", SHARE, "share of each store's link for transfers"),
    field("loads_limit", COUNT, "weights that may load at the same moment"),
    field("serving_share_floor", SHARE, "share of runners that serve on during a roll-out"),
];

const SERVICE_FIELDS: &[Field] = &[
    field("not_repeatable", Kind::List(&Kind::Name), "calls that must not run twice"),
    field("deadline_ms", TIME, "time after which a call is given up"),
];

const DATA_CENTRE_FIELDS: &[Field] = &[
    field("region", Kind::Text, "region that the data centre lies in"),
    field("runners", Kind::Map(&Kind::Object(RUNNER_FIELDS)), "runners by name"),
    field("stores", Kind::Map(&Kind::Object(STORE_FIELDS)), "store VMs by name"),
    field("services", Kind::Map(&Kind::Object(INSTANCE_FIELDS)), "instances of plain services"),
];

const RUNNER_FIELDS: &[Field] = &[
    required("address", Kind::Address, "IP number and port"),
    required("model", Kind::Name, "model that it serves"),
    field("checks_fencing", Kind::Flag, "whether it refuses an old fencing number"),
];

const STORE_FIELDS: &[Field] = &[
    required("address", Kind::Address, "IP number and port"),
    required("link_bytes_per_second", RATE, "bytes a second that its link carries"),
];

const INSTANCE_FIELDS: &[Field] = &[
    required("address", Kind::Address, "IP number and port"),
    required("service", Kind::Name, "service that it is an instance of"),
];
