//! Common Media Client Data (CTA-5004) as typed values, from headers, the query or JSON.
//! Unknown and custom keys pass; a malformed key is skipped and counted and never fails the request.

use serde_json::Value as Json;
use sfv::{BareItem, Dictionary, ListEntry, Parser};
use std::collections::BTreeMap;

/// Longest value of all CMCD fields of one request that is read, in bytes; what is longer is skipped whole.
pub const MAX_CMCD_BYTES: usize = 4096;
/// The four headers that CTA-5004 names, by how often their values change.
pub const HEADER_NAMES: [&str; 4] = ["cmcd-request", "cmcd-object", "cmcd-status", "cmcd-session"];

/// What a player hinted. Keys that CTA-5004 reserves are typed as far as lemontide reads them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Cmcd {
    /// `sid`: the playback session, 64 characters at most.
    pub session_id: Option<String>,
    /// `cid`: the content.
    pub content_id: Option<String>,
    /// `su`: wanted urgently, as at start-up.
    pub is_startup: bool,
    /// `tb`: top bitrate that the player may use, kbit/s.
    pub top_kbps: Option<u64>,
    /// `mtp`: measured throughput, kbit/s.
    pub throughput_kbps: Option<u64>,
    /// `bl`: buffer length, ms.
    pub buffer_ms: Option<u64>,
    /// `br`: bitrate of the object asked for, kbit/s.
    pub bitrate_kbps: Option<u64>,
    /// Everything else, as it came.
    pub other_keys: BTreeMap<String, String>,
    /// Keys that were no valid structured field, or of the wrong type.
    pub skipped_keys: u32,
}

impl Cmcd {
    /// Reads the values of the four headers, or the decoded `CMCD` argument of a query.
    pub fn from_headers<'a>(values: impl IntoIterator<Item = &'a [u8]>) -> Cmcd {
        let mut cmcd = Cmcd::default();
        let mut read = 0;
        for value in values {
            read += value.len();
            if read > MAX_CMCD_BYTES {
                cmcd.skipped_keys += 1;
                continue;
            }
            match Parser::new(value).parse::<Dictionary>() {
                Ok(dictionary) => cmcd.take(dictionary),
                // One bad key must not cost the others: each member is read by itself.
                Err(_) => members(value).for_each(|member| match Parser::new(member).parse::<Dictionary>() {
                    Ok(dictionary) => cmcd.take(dictionary),
                    Err(_) => cmcd.skipped_keys += 1,
                }),
            }
        }
        cmcd
    }

    /// Reads the JSON form: one object of keys to values.
    pub fn from_json(json: &Json) -> Cmcd {
        let mut cmcd = Cmcd::default();
        let Some(object) = json.as_object() else {
            cmcd.skipped_keys = u32::from(!json.is_null());
            return cmcd;
        };
        for (key, value) in object {
            let known = match value {
                Json::Bool(b) => cmcd.put(key, Some(*b), None, None),
                Json::Number(n) => cmcd.put(key, None, n.as_u64(), None),
                Json::String(s) if s.len() <= MAX_CMCD_BYTES => cmcd.put(key, None, None, Some(s)),
                // Version 2 carries some values as lists, one for each kind of object.
                Json::Array(values) => cmcd.put(key, None, values.iter().find_map(Json::as_u64), None),
                _ => Known::Wrong,
            };
            cmcd.count(known, key, || value.to_string());
        }
        cmcd
    }

    fn take(&mut self, dictionary: Dictionary) {
        for (key, entry) in dictionary {
            let item = match &entry {
                ListEntry::Item(item) => Some(item),
                ListEntry::InnerList(list) => list.items.first(),
            };
            let key = key.as_str();
            let known = match item.map(|item| &item.bare_item) {
                Some(BareItem::Boolean(b)) => self.put(key, Some(*b), None, None),
                Some(BareItem::Integer(n)) => self.put(key, None, u64::try_from(i64::from(*n)).ok(), None),
                Some(BareItem::String(s)) => self.put(key, None, None, Some(s.as_str())),
                Some(BareItem::Token(t)) => self.put(key, None, None, Some(t.as_str())),
                _ => self.put(key, None, None, None),
            };
            self.count(known, key, || item.map_or_else(String::new, |item| format!("{:?}", item.bare_item)));
        }
    }

    fn count(&mut self, known: Known, key: &str, raw: impl Fn() -> String) {
        match known {
            Known::Taken => {}
            Known::Wrong => self.skipped_keys += 1,
            Known::Other => {
                self.other_keys.insert(key.to_owned(), raw());
            }
        }
    }

    fn put(&mut self, key: &str, yes: Option<bool>, number: Option<u64>, text: Option<&str>) -> Known {
        let (slot, of) = match key {
            "su" => {
                self.is_startup = yes.unwrap_or(false);
                return Known::of(yes.is_some());
            }
            "sid" | "cid" => {
                let text = text.filter(|t| t.len() <= if key == "sid" { 64 } else { 128 });
                let slot = if key == "sid" { &mut self.session_id } else { &mut self.content_id };
                *slot = text.map(str::to_owned);
                return Known::of(text.is_some());
            }
            "tb" => (&mut self.top_kbps, number),
            "mtp" => (&mut self.throughput_kbps, number),
            "bl" => (&mut self.buffer_ms, number),
            "br" => (&mut self.bitrate_kbps, number),
            _ => return Known::Other,
        };
        *slot = of;
        Known::of(of.is_some())
    }

    /// The header form: the keys that CTA-5004 puts in `CMCD-Session`, `CMCD-Request`, `CMCD-Object`.
    pub fn to_headers(&self) -> Vec<(&'static str, String)> {
        let mut fields = Vec::new();
        let mut request = Vec::new();
        request.extend(self.buffer_ms.map(|bl| format!("bl={bl}")));
        request.extend(self.throughput_kbps.map(|mtp| format!("mtp={mtp}")));
        request.extend(self.is_startup.then(|| "su".to_owned()));
        let mut object = Vec::new();
        object.extend(self.bitrate_kbps.map(|br| format!("br={br}")));
        object.extend(self.top_kbps.map(|tb| format!("tb={tb}")));
        let mut session = Vec::new();
        session.extend(self.content_id.as_ref().map(|cid| format!("cid={}", quoted(cid))));
        session.extend(self.session_id.as_ref().map(|sid| format!("sid={}", quoted(sid))));
        for (name, keys) in
            [(HEADER_NAMES[0], request), (HEADER_NAMES[1], object), (HEADER_NAMES[3], session)]
        {
            if !keys.is_empty() {
                fields.push((name, keys.join(",")));
            }
        }
        fields
    }
}

enum Known {
    Taken,
    Wrong,
    Other,
}

impl Known {
    fn of(taken: bool) -> Known {
        if taken {
            Known::Taken
        } else {
            Known::Wrong
        }
    }
}

/// A structured string; what it can't carry is left out.
fn quoted(text: &str) -> String {
    let clean: String = text.chars().filter(|c| (' '..='~').contains(c)).collect();
    format!("\"{}\"", clean.replace('\\', "\\\\").replace('"', "\\\""))
}

/// The members of a dictionary, cut at commas that stand in no string and no inner list.
fn members(value: &[u8]) -> impl Iterator<Item = &[u8]> {
    let (mut in_string, mut escaped, mut depth) = (false, false, 0u32);
    value.split(move |byte| {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_string => escaped = true,
            b'"' => in_string = !in_string,
            b'(' if !in_string => depth += 1,
            b')' if !in_string => depth = depth.saturating_sub(1),
            b',' if !in_string && depth == 0 => return true,
            _ => {}
        }
        false
    })
}

/// The value of the `CMCD` argument of a query, decoded.
pub fn query_value(query: &str) -> Option<Vec<u8>> {
    let value = query.split('&').find_map(|pair| pair.strip_prefix("CMCD="))?;
    let mut bytes = value.bytes();
    let mut decoded = Vec::with_capacity(value.len());
    while let Some(byte) = bytes.next() {
        decoded.push(match byte {
            b'+' => b' ',
            b'%' => {
                let mut digit = || bytes.next().and_then(|b| (b as char).to_digit(16));
                let (high, low) = (digit()?, digit()?);
                (high * 16 + low) as u8
            }
            other => other,
        });
    }
    Some(decoded)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn the_three_forms_agree() {
        let hints = Cmcd {
            session_id: Some("v\"7".into()),
            is_startup: true,
            top_kbps: Some(8000),
            throughput_kbps: Some(25400),
            buffer_ms: Some(300),
            ..Cmcd::default()
        };
        let fields = hints.to_headers();
        assert_eq!(Cmcd::from_headers(fields.iter().map(|f| f.1.as_bytes())), hints);
        let query = "x=1&CMCD=bl%3D300%2Cmtp%3D25400%2Csid%3D%22v%5C%227%22%2Csu%2Ctb%3D8000";
        assert_eq!(Cmcd::from_headers([&query_value(query).expect("it is there")[..]]), hints);
        let json = serde_json::json!({"bl": 300, "mtp": 25400, "sid": "v\"7", "su": true, "tb": [8000]});
        assert_eq!(Cmcd::from_json(&json), hints);
    }

    #[test]
    fn a_malformed_key_costs_only_itself() {
        let cmcd =
            Cmcd::from_headers([&b"tb=8000,BAD KEY,sid=\"a,b\",bl=\"far\",com.example-x=?1,mtp=-3"[..]]);
        assert_eq!(cmcd.top_kbps, Some(8000));
        assert_eq!(cmcd.session_id.as_deref(), Some("a,b"));
        assert_eq!((cmcd.skipped_keys, cmcd.other_keys.len()), (3, 1));
        assert_eq!(Cmcd::from_headers([&vec![b'a'; MAX_CMCD_BYTES + 1][..]]).skipped_keys, 1);
        assert_eq!(query_value("CMCD=%4"), None);
    }

    proptest! {
        #[test]
        fn garbage_is_never_fatal(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
            let _ = Cmcd::from_headers([&bytes[..]]);
            let _ = query_value(&String::from_utf8_lossy(&bytes));
        }
    }
}
