//! `Lemontide-Wish`: a header in which a player can describe its request, so that a controller near its limit
//! can reject it before it reads any further. The body must agree with the header. It is a structured dictionary
//! (RFC 9651), for example `lane=paid, tenant="office", returned, within=2.5`.

use sfv::{BareItem, Dictionary, ListEntry, Parser};

/// The name of the header, in lower case.
pub const HEADER_NAME: &str = "lemontide-wish";
/// Maximum length of a header value that is parsed.
const MAX_HINT_BYTES: usize = 512;

/// A player's description of its request in the header.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHint {
    pub class: String,
    pub tenant: String,
    pub is_retry: bool,
    /// Seconds until the player gives up.
    pub give_up_in_s: Option<f64>,
}

impl RequestHint {
    /// Parses the value of the header. None if it is not valid or has no class; unknown keys are ignored.
    pub fn parse(value: &[u8]) -> Option<RequestHint> {
        if value.len() > MAX_HINT_BYTES {
            return None;
        }
        let dictionary: Dictionary = Parser::new(value).parse().ok()?;
        let item = |key: &str| match dictionary.get(key) {
            Some(ListEntry::Item(item)) => Some(&item.bare_item),
            _ => None,
        };
        let text = |key: &str| match item(key) {
            Some(BareItem::Token(token)) => Some(token.as_str().to_owned()),
            Some(BareItem::String(string)) => Some(string.as_str().to_owned()),
            _ => None,
        };
        let give_up_in_s = match item("within") {
            Some(BareItem::Integer(whole)) => Some(i64::from(*whole) as f64),
            Some(BareItem::Decimal(decimal)) => Some(f64::from(*decimal)),
            _ => None,
        };
        Some(RequestHint {
            class: text("lane")?,
            tenant: text("tenant").unwrap_or_default(),
            is_retry: matches!(item("returned"), Some(BareItem::Boolean(true))),
            give_up_in_s: give_up_in_s.filter(|s| *s >= 0.0),
        })
    }
}
