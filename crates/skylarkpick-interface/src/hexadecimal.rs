//! Serializes prefix keys as hexadecimal text, since many JSON parsers can't hold 128-bit numbers.

use crate::ids::PrefixKey;
use serde::{Deserialize, Deserializer, Serializer, de::Error};

/// Formats a key as 32 hexadecimal digits.
///
/// ```
/// assert_eq!(skylarkpick_interface::format_prefix_key(255), format!("{:032x}", 255));
/// ```
pub fn format_prefix_key(key: PrefixKey) -> String {
    format!("{key:032x}")
}

/// Parses a key of 32 hexadecimal digits, or returns `None` if the text is not one.
///
/// ```
/// use skylarkpick_interface::{format_prefix_key, parse_prefix_key};
/// assert_eq!(parse_prefix_key(&format_prefix_key(7)), Some(7));
/// assert_eq!(parse_prefix_key("seven"), None);
/// ```
pub fn parse_prefix_key(text: &str) -> Option<PrefixKey> {
    if text.len() != 32 {
        return None;
    }
    PrefixKey::from_str_radix(text, 16).ok()
}

fn parse<E: Error>(text: &str) -> Result<PrefixKey, E> {
    parse_prefix_key(text).ok_or_else(|| E::custom("expected 32 hexadecimal digits"))
}

/// Serde functions for fields of one key.
pub(crate) mod one {
    use super::*;

    pub(crate) fn serialize<S: Serializer>(key: &PrefixKey, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&format_prefix_key(*key))
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<PrefixKey, D::Error> {
        parse(&String::deserialize(from)?)
    }
}

/// Serde functions for fields of several keys.
pub(crate) mod many {
    use super::*;

    pub(crate) fn serialize<S: Serializer>(keys: &[PrefixKey], to: S) -> Result<S::Ok, S::Error> {
        to.collect_seq(keys.iter().map(|key| format_prefix_key(*key)))
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        from: D,
    ) -> Result<Vec<PrefixKey>, D::Error> {
        let texts = Vec::<String>::deserialize(from)?;
        texts.iter().map(|text| parse(text)).collect()
    }
}

/// Serde functions for optional fields of several keys.
pub(crate) mod optional_many {
    use super::*;

    pub(crate) fn serialize<S: Serializer>(
        keys: &Option<Vec<PrefixKey>>,
        to: S,
    ) -> Result<S::Ok, S::Error> {
        match keys {
            Some(keys) => many::serialize(keys, to),
            None => to.serialize_none(),
        }
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        from: D,
    ) -> Result<Option<Vec<PrefixKey>>, D::Error> {
        let Some(texts) = Option::<Vec<String>>::deserialize(from)? else {
            return Ok(None);
        };
        texts.iter().map(|text| parse(text)).collect::<Result<_, _>>().map(Some)
    }
}
