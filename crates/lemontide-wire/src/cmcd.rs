//! Common Media Client Data (CTA-5004) as typed values, from headers, the query or JSON.
//! Unknown and custom keys pass; a malformed key is skipped and counted and never fails the request.

use serde_json::Value as Json;
use sfv::{BareItem, Dictionary, ListEntry, Parser};
use std::collections::BTreeMap;

/// Longest value of all CMCD fields of one request that is read, in bytes; what is longer is skipped whole.
pub const LONGEST: usize = 4096;
/// The four headers that CTA-5004 names, by how often their values change.
pub const HEADERS: [&str; 4] = ["cmcd-request", "cmcd-object", "cmcd-status", "cmcd-session"];

/// What a player hinted. Keys that CTA-5004 reserves are typed as far as lemontide reads them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Cmcd {
    /// `sid`: the playback session, 64 characters at most.
    pub session: Option<String>,
    /// `cid`: the content.
    pub content: Option<String>,
    /// `su`: wanted urgently, as at start-up.
    pub startup: bool,
    /// `tb`: top bitrate that the player may use, kbit/s.
    pub top_kbps: Option<u64>,
    /// `mtp`: measured throughput, kbit/s.
    pub throughput_kbps: Option<u64>,
    /// `bl`: buffer length, ms.
    pub buffer_ms: Option<u64>,
    /// `br`: bitrate of the object asked for, kbit/s.
    pub bitrate_kbps: Option<u64>,
    /// Everything else, as it came.
    pub others: BTreeMap<String, String>,
    /// Keys that were no valid structured field, or of the wrong type.
    pub skipped: u32,
}

impl Cmcd {
    /// Reads the values of the four headers, or the decoded `CMCD` argument of a query.
    pub fn of_fields<'a>(values: impl IntoIterator<Item = &'a [u8]>) -> Cmcd {
        let mut cmcd = Cmcd::default();
        let mut read = 0;
        for value in values {
            read += value.len();
            if read > LONGEST {
                cmcd.skipped += 1;
                continue;
            }
            match Parser::new(value).parse::<Dictionary>() {
                Ok(dictionary) => cmcd.take(dictionary),
                // One bad key must not cost the others: each member is read by itself.
                Err(_) => members(value).for_each(|member| match Parser::new(member).parse::<Dictionary>() {
                    Ok(dictionary) => cmcd.take(dictionary),
                    Err(_) => cmcd.skipped += 1,
                }),
            }
        }
        cmcd
    }

    /// Reads the JSON form: one object of keys to values.
    pub fn of_json(json: &Json) -> Cmcd {
        let mut cmcd = Cmcd::default();
        let Some(object) = json.as_object() else {
            cmcd.skipped = u32::from(!json.is_null());
            return cmcd;
        };
        for (key, value) in object {
            let known = match value {
                Json::Bool(b) => cmcd.put(key, Some(*b), None, None),
                Json::Number(n) => cmcd.put(key, None, n.as_u64(), None),
                Json::String(s) if s.len() <= LONGEST => cmcd.put(key, None, None, Some(s)),
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
            Known::Wrong => self.skipped += 1,
            Known::Other => {
                self.others.insert(key.to_owned(), raw());
            }
        }
    }

    fn put(&mut self, key: &str, yes: Option<bool>, number: Option<u64>, text: Option<&str>) -> Known {
        let (slot, of) = match key {
            "su" => {
                self.startup = yes.unwrap_or(false);
                return Known::of(yes.is_some());
            }
            "sid" | "cid" => {
                let text = text.filter(|t| t.len() <= if key == "sid" { 64 } else { 128 });
                let slot = if key == "sid" { &mut self.session } else { &mut self.content };
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
    pub fn fields(&self) -> Vec<(&'static str, String)> {
        let mut fields = Vec::new();
        let mut request = Vec::new();
        request.extend(self.buffer_ms.map(|bl| format!("bl={bl}")));
        request.extend(self.throughput_kbps.map(|mtp| format!("mtp={mtp}")));
        request.extend(self.startup.then(|| "su".to_owned()));
        let mut object = Vec::new();
        object.extend(self.bitrate_kbps.map(|br| format!("br={br}")));
        object.extend(self.top_kbps.map(|tb| format!("tb={tb}")));
        let mut session = Vec::new();
        session.extend(self.content.as_ref().map(|cid| format!("cid={}", quoted(cid))));
        session.extend(self.session.as_ref().map(|sid| format!("sid={}", quoted(sid))));
        for (name, keys) in [(HEADERS[0], request), (HEADERS[1], object), (HEADERS[3], session)] {
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
pub fn in_query(query: &str) -> Option<Vec<u8>> {
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
            session: Some("v\"7".into()),
            startup: true,
            top_kbps: Some(8000),
            throughput_kbps: Some(25400),
            buffer_ms: Some(300),
            ..Cmcd::default()
        };
        let fields = hints.fields();
        assert_eq!(Cmcd::of_fields(fields.iter().map(|f| f.1.as_bytes())), hints);
        let query = "x=1&CMCD=bl%3D300%2Cmtp%3D25400%2Csid%3D%22v%5C%227%22%2Csu%2Ctb%3D8000";
        assert_eq!(Cmcd::of_fields([&in_query(query).expect("it is there")[..]]), hints);
        let json = serde_json::json!({"bl": 300, "mtp": 25400, "sid": "v\"7", "su": true, "tb": [8000]});
        assert_eq!(Cmcd::of_json(&json), hints);
    }

    #[test]
    fn a_malformed_key_costs_only_itself() {
        let cmcd = Cmcd::of_fields([&b"tb=8000,BAD KEY,sid=\"a,b\",bl=\"far\",com.example-x=?1,mtp=-3"[..]]);
        assert_eq!(cmcd.top_kbps, Some(8000));
        assert_eq!(cmcd.session.as_deref(), Some("a,b"));
        assert_eq!((cmcd.skipped, cmcd.others.len()), (3, 1));
        assert_eq!(Cmcd::of_fields([&vec![b'a'; LONGEST + 1][..]]).skipped, 1);
        assert_eq!(in_query("CMCD=%4"), None);
    }

    proptest! {
        #[test]
        fn garbage_is_never_fatal(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
            let _ = Cmcd::of_fields([&bytes[..]]);
            let _ = in_query(&String::from_utf8_lossy(&bytes));
        }
    }
}
