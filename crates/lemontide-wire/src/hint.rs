//! `Lemontide-Wish`: a header in which a player may describe its request, so that a controller near its limit can
//! reject it before it reads any further. A structured dictionary (RFC 9651):
//! `lane=paid, tenant="office", returned, within=2.5`. The body must agree with it.

use sfv::{BareItem, Dictionary, ListEntry, Parser};

pub const HEADER_NAME: &str = "lemontide-wish";
/// Longest value that is read, in bytes.
const MAX_HINT_BYTES: usize = 512;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestHint {
    pub class: String,
    pub tenant: String,
    pub is_retry: bool,
    /// Seconds until the player gives up.
    pub give_up_in_s: Option<f64>,
}

impl RequestHint {
    /// Reads a header's value. None where it is not valid or names no class; unknown keys are skipped.
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
        let within = match item("within") {
            Some(BareItem::Integer(whole)) => Some(i64::from(*whole) as f64),
            Some(BareItem::Decimal(decimal)) => Some(f64::from(*decimal)),
            _ => None,
        };
        Some(RequestHint {
            class: text("lane")?,
            tenant: text("tenant").unwrap_or_default(),
            is_retry: matches!(item("returned"), Some(BareItem::Boolean(true))),
            give_up_in_s: within.filter(|s| *s >= 0.0),
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_valid_is_read_and_the_rest_is_no_hint() {
        let read = RequestHint::parse(b"lane=paid, tenant=\"an office\", returned, within=2.5, later=1")
            .expect("valid");
        let hint = RequestHint {
            class: "paid".into(),
            tenant: "an office".into(),
            is_retry: true,
            give_up_in_s: Some(2.5),
        };
        assert_eq!(read, hint);
        assert_eq!(
            RequestHint::parse(b"lane=\"a b\", within=3").and_then(|hint| hint.give_up_in_s),
            Some(3.0)
        );
        for bad in [&b""[..], b"returned", b"lane=", b"lane=(a b)", b"LANE=x", b"\xff", &[b'a'; 600]] {
            assert_eq!(RequestHint::parse(bad), None);
        }
        assert_eq!(RequestHint::parse(b"lane=x, within=-1").and_then(|hint| hint.give_up_in_s), None);
    }
}
