//! Common Media Client Data (CTA-5004) as typed values, from headers, the query or JSON. Unknown and custom
//! keys are kept as text. A malformed key is skipped and counted; it never fails the request.

use serde_json::Value as Json;
use sfv::{BareItem, Dictionary, ListEntry, Parser};
use std::collections::BTreeMap;

/// Maximum length of all CMCD fields of one request together, in bytes. A field beyond it is skipped as a
/// whole.
pub const MAX_CMCD_BYTES: usize = 4096;
/// The four headers of CTA-5004, which divides the keys by how often their values change.
pub const HEADER_NAMES: [&str; 4] = ["cmcd-request", "cmcd-object", "cmcd-status", "cmcd-session"];

/// The CMCD of one request. Reserved keys of CTA-5004 that lemontide uses have typed fields.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Cmcd {
    /// `sid`: the playback session, at most 64 bytes.
    pub session_id: Option<String>,
    /// `cid`: the content, at most 128 bytes.
    pub content_id: Option<String>,
    /// `su`: needed urgently, as at startup.
    pub is_startup: bool,
    /// `tb`: top bitrate that the player can use, kbit/s.
    pub top_kbps: Option<u64>,
    /// `mtp`: measured throughput, kbit/s.
    pub throughput_kbps: Option<u64>,
    /// `bl`: buffer length, ms.
    pub buffer_ms: Option<u64>,
    /// `br`: bitrate of the requested object, kbit/s.
    pub bitrate_kbps: Option<u64>,
    /// All other keys with their values as text.
    pub other_keys: BTreeMap<String, String>,
    /// Number of keys that were not a valid structured field or had the wrong type.
    pub skipped_keys: u32,
}

impl Cmcd {
    /// Parses the values of the four headers, or the decoded `CMCD` argument of a query.
    pub fn from_headers<'a>(values: impl IntoIterator<Item = &'a [u8]>) -> Cmcd {
        let mut cmcd = Cmcd::default();
        let mut total_bytes = 0;
        for value in values {
            total_bytes += value.len();
            if total_bytes > MAX_CMCD_BYTES {
                cmcd.skipped_keys += 1;
                continue;
            }
            match Parser::new(value).parse::<Dictionary>() {
                Ok(dictionary) => cmcd.add_dictionary(dictionary),
                // One bad key must not lose the others, so each member is parsed separately.
                Err(_) => {
                    split_members(value).for_each(|member| match Parser::new(member).parse::<Dictionary>() {
                        Ok(dictionary) => cmcd.add_dictionary(dictionary),
                        Err(_) => cmcd.skipped_keys += 1,
                    })
                }
            }
        }
        cmcd
    }

    /// Parses the JSON form: one object of keys and values.
    pub fn from_json(json: &Json) -> Cmcd {
        let mut cmcd = Cmcd::default();
        let Some(object) = json.as_object() else {
            cmcd.skipped_keys = u32::from(!json.is_null());
            return cmcd;
        };
        for (key, value) in object {
            let result = match value {
                Json::Bool(b) => cmcd.set_key(key, Some(*b), None, None),
                Json::Number(n) => cmcd.set_key(key, None, n.as_u64(), None),
                Json::String(s) if s.len() <= MAX_CMCD_BYTES => cmcd.set_key(key, None, None, Some(s)),
                // Version 2 has lists for some values, with one entry per kind of object.
                Json::Array(values) => cmcd.set_key(key, None, values.iter().find_map(Json::as_u64), None),
                _ => KeyResult::Invalid,
            };
            cmcd.record_result(result, key, || value.to_string());
        }
        cmcd
    }

    fn add_dictionary(&mut self, dictionary: Dictionary) {
        for (key, entry) in dictionary {
            let item = match &entry {
                ListEntry::Item(item) => Some(item),
                ListEntry::InnerList(list) => list.items.first(),
            };
            let key = key.as_str();
            let result = match item.map(|item| &item.bare_item) {
                Some(BareItem::Boolean(b)) => self.set_key(key, Some(*b), None, None),
                Some(BareItem::Integer(n)) => {
                    self.set_key(key, None, u64::try_from(i64::from(*n)).ok(), None)
                }
                Some(BareItem::String(s)) => self.set_key(key, None, None, Some(s.as_str())),
                Some(BareItem::Token(t)) => self.set_key(key, None, None, Some(t.as_str())),
                _ => self.set_key(key, None, None, None),
            };
            self.record_result(result, key, || {
                item.map_or_else(String::new, |item| format!("{:?}", item.bare_item))
            });
        }
    }

    fn record_result(&mut self, result: KeyResult, key: &str, value_text: impl Fn() -> String) {
        match result {
            KeyResult::Accepted => {}
            KeyResult::Invalid => self.skipped_keys += 1,
            KeyResult::Other => {
                self.other_keys.insert(key.to_owned(), value_text());
            }
        }
    }

    fn set_key(
        &mut self,
        key: &str,
        flag: Option<bool>,
        number: Option<u64>,
        text: Option<&str>,
    ) -> KeyResult {
        let (field, value) = match key {
            "su" => {
                self.is_startup = flag.unwrap_or(false);
                return KeyResult::from_valid(flag.is_some());
            }
            "sid" | "cid" => {
                let text = text.filter(|t| t.len() <= if key == "sid" { 64 } else { 128 });
                let field = if key == "sid" { &mut self.session_id } else { &mut self.content_id };
                *field = text.map(str::to_owned);
                return KeyResult::from_valid(text.is_some());
            }
            "tb" => (&mut self.top_kbps, number),
            "mtp" => (&mut self.throughput_kbps, number),
            "bl" => (&mut self.buffer_ms, number),
            "br" => (&mut self.bitrate_kbps, number),
            _ => return KeyResult::Other,
        };
        *field = value;
        KeyResult::from_valid(value.is_some())
    }

    /// The header form, with each key in the header that CTA-5004 assigns to it: `CMCD-Request`,
    /// `CMCD-Object` or `CMCD-Session`.
    pub fn to_headers(&self) -> Vec<(&'static str, String)> {
        let mut headers = Vec::new();
        let mut request = Vec::new();
        request.extend(self.buffer_ms.map(|bl| format!("bl={bl}")));
        request.extend(self.throughput_kbps.map(|mtp| format!("mtp={mtp}")));
        request.extend(self.is_startup.then(|| "su".to_owned()));
        let mut object = Vec::new();
        object.extend(self.bitrate_kbps.map(|br| format!("br={br}")));
        object.extend(self.top_kbps.map(|tb| format!("tb={tb}")));
        let mut session = Vec::new();
        session.extend(self.content_id.as_ref().map(|cid| format!("cid={}", structured_string(cid))));
        session.extend(self.session_id.as_ref().map(|sid| format!("sid={}", structured_string(sid))));
        for (name, keys) in
            [(HEADER_NAMES[0], request), (HEADER_NAMES[1], object), (HEADER_NAMES[3], session)]
        {
            if !keys.is_empty() {
                headers.push((name, keys.join(",")));
            }
        }
        headers
    }
}

/// Result of setting one key.
enum KeyResult {
    Accepted,
    /// The value has the wrong type or is too long.
    Invalid,
    /// A key without a typed field.
    Other,
}

impl KeyResult {
    fn from_valid(is_valid: bool) -> KeyResult {
        if is_valid {
            KeyResult::Accepted
        } else {
            KeyResult::Invalid
        }
    }
}

/// A string in the syntax of structured fields (RFC 9651). Characters that are not allowed in it are left
/// out.
fn structured_string(text: &str) -> String {
    let allowed: String = text.chars().filter(|c| (' '..='~').contains(c)).collect();
    format!("\"{}\"", allowed.replace('\\', "\\\\").replace('"', "\\\""))
}

/// The members of a dictionary, split at commas outside strings and inner lists.
fn split_members(value: &[u8]) -> impl Iterator<Item = &[u8]> {
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

/// The percent-decoded value of the `CMCD` argument of a query. None if there is none or its encoding is
/// invalid.
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
