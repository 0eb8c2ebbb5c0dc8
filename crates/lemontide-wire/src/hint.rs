//! `Lemontide-Wish`: what a player may say of its wish in the head of the request, so that a controller near its
//! limit can turn it back before it reads any further. A structured dictionary (RFC 9651):
//! `lane=paid, tenant="office", returned, within=2.5`. The wish itself must agree with it.

use sfv::{BareItem, Dictionary, ListEntry, Parser};

pub const NAME: &str = "lemontide-wish";
/// Longest value that is read, in bytes.
const LONGEST: usize = 512;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Hint {
    pub lane: String,
    pub tenant: String,
    pub returned: bool,
    /// Seconds until the player gives up.
    pub within: Option<f64>,
}

impl Hint {
    /// Reads a header's value. None where it is not valid or names no lane; unknown keys are skipped.
    pub fn read(value: &[u8]) -> Option<Hint> {
        if value.len() > LONGEST {
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
        Some(Hint {
            lane: text("lane")?,
            tenant: text("tenant").unwrap_or_default(),
            returned: matches!(item("returned"), Some(BareItem::Boolean(true))),
            within: within.filter(|s| *s >= 0.0),
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_valid_is_read_and_the_rest_is_no_hint() {
        let read =
            Hint::read(b"lane=paid, tenant=\"an office\", returned, within=2.5, later=1").expect("valid");
        let hint =
            Hint { lane: "paid".into(), tenant: "an office".into(), returned: true, within: Some(2.5) };
        assert_eq!(read, hint);
        assert_eq!(Hint::read(b"lane=\"a b\", within=3").and_then(|hint| hint.within), Some(3.0));
        for bad in [&b""[..], b"returned", b"lane=", b"lane=(a b)", b"LANE=x", b"\xff", &[b'a'; 600]] {
            assert_eq!(Hint::read(bad), None);
        }
        assert_eq!(Hint::read(b"lane=x, within=-1").and_then(|hint| hint.within), None);
    }
}
