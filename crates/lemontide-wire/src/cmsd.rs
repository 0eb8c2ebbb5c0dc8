//! Common Media Server Data (CTA-5006): load reports of streamers, and hints in the responses to players.
//! lemontide's own keys have a prefix, as the specification requires for custom keys.

use sfv::{
    BareItem, Decimal, DictSerializer, Integer, KeyRef, List, ListEntry, ListSerializer, Parser, StringRef,
    TokenRef,
};

/// Header with data about the stream that does not change.
pub const STATIC_HEADER: &str = "cmsd-static";
/// Header with data about the current state of the server.
pub const DYNAMIC_HEADER: &str = "cmsd-dynamic";
const STREAMS_KEY: &str = "dk.lemontide-streams";
const LINK_KEY: &str = "dk.lemontide-link";
const RACK_KEY: &str = "dk.lemontide-rack";
/// Maximum length of a header value that is parsed.
const MAX_CMSD_BYTES: usize = 2048;

/// One server's entry of CMSD-Dynamic. It contains the load report: the number of streams that run or are
/// being set up, and the demand on the link and on the rack's uplink as a part of their capacity.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CmsdDynamic {
    pub server: String,
    /// `mb`: maximum suggested bitrate, kbit/s.
    pub suggested_kbps: Option<u64>,
    /// `du`: the server is under duress.
    pub duress: bool,
    pub streams: Option<f64>,
    pub link_utilization: Option<f64>,
    pub uplink_utilization: Option<f64>,
}

impl CmsdDynamic {
    /// Formats a list of one entry. Characters of the server name that a structured string can't contain are
    /// left out.
    pub fn to_header_value(&self) -> String {
        let name: String = self.server.chars().filter(|c| (' '..='~').contains(c)).collect();
        let mut list = ListSerializer::new();
        if let Ok(name) = StringRef::from_str(&name) {
            let mut item = list.bare_item(name);
            for (key, value) in [
                (STREAMS_KEY, self.streams),
                (LINK_KEY, self.link_utilization),
                (RACK_KEY, self.uplink_utilization),
            ] {
                let value = value.filter(|v| v.is_finite()).map(|v| Decimal::try_from(v.clamp(0.0, 1e9)));
                if let (Ok(key), Some(Ok(value))) = (KeyRef::from_str(key), value) {
                    item = item.parameter(key, value);
                }
            }
            let suggested = self.suggested_kbps.map(|kbps| Integer::try_from(kbps.min(1 << 40)));
            if let (Ok(key), Some(Ok(kbps))) = (KeyRef::from_str("mb"), suggested) {
                item = item.parameter(key, kbps);
            }
            if let (Ok(key), true) = (KeyRef::from_str("du"), self.duress) {
                item.parameter(key, true);
            }
        }
        list.finish().unwrap_or_default()
    }

    /// Parses the last entry of a list, which is that of the nearest server. None if the field is not a valid
    /// list.
    pub fn parse(field: &str) -> Option<CmsdDynamic> {
        if field.len() > MAX_CMSD_BYTES {
            return None;
        }
        let list = Parser::new(field).parse::<List>().ok()?;
        let Some(ListEntry::Item(item)) = list.last() else { return None };
        let server = match &item.bare_item {
            BareItem::String(name) => name.as_str().to_owned(),
            BareItem::Token(name) => name.as_str().to_owned(),
            _ => return None,
        };
        let mut dynamic = CmsdDynamic { server, ..CmsdDynamic::default() };
        for (key, value) in &item.params {
            let number = match value {
                BareItem::Decimal(d) => Some(f64::from(*d)),
                BareItem::Integer(n) => Some(i64::from(*n) as f64),
                _ => None,
            };
            match key.as_str() {
                STREAMS_KEY => dynamic.streams = number,
                LINK_KEY => dynamic.link_utilization = number,
                RACK_KEY => dynamic.uplink_utilization = number,
                "mb" => dynamic.suggested_kbps = number.filter(|n| *n >= 0.0).map(|n| n as u64),
                "du" => dynamic.duress = *value == BareItem::Boolean(true),
                _ => {}
            }
        }
        Some(dynamic)
    }
}

/// The value of CMSD-Static in the response for a playing session: encoded bitrate in kbit/s, video, live or
/// on demand.
pub fn static_header_value(bitrate_kbps: u64, live: bool) -> String {
    let mut fields = DictSerializer::new();
    if let (Ok(key), Ok(kbps)) = (KeyRef::from_str("br"), Integer::try_from(bitrate_kbps.min(1 << 40))) {
        fields.bare_item(key, kbps);
    }
    for (key, value) in [("ot", "v"), ("st", if live { "l" } else { "v" })] {
        if let (Ok(key), Ok(value)) = (KeyRef::from_str(key), TokenRef::from_str(value)) {
            fields.bare_item(key, value);
        }
    }
    fields.finish().unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_load_report_is_parsed_as_it_was_formatted() {
        let report = CmsdDynamic {
            server: "s1".into(),
            suggested_kbps: Some(6400),
            duress: true,
            streams: Some(12.0),
            link_utilization: Some(0.75),
            uplink_utilization: Some(1.25),
        };
        assert_eq!(CmsdDynamic::parse(&report.to_header_value()), Some(report));
        assert_eq!(static_header_value(6400, false), "br=6400, ot=v, st=v");
    }

    #[test]
    fn entries_of_other_servers_and_unknown_keys_are_skipped_and_invalid_values_are_none() {
        let parsed =
            CmsdDynamic::parse("\"cdn\";etp=96, \"s1\";com.example-k=2;dk.lemontide-link=0.5;rd=\"x\"");
        assert_eq!(parsed.map(|d| (d.server, d.link_utilization)), Some(("s1".into(), Some(0.5))));
        assert_eq!(CmsdDynamic::parse("\"unclosed"), None);
        assert_eq!(CmsdDynamic::parse(&"a,".repeat(MAX_CMSD_BYTES)), None);
        let unusual = CmsdDynamic {
            server: "å\u{7}".into(),
            link_utilization: Some(f64::NAN),
            ..CmsdDynamic::default()
        };
        assert_eq!(unusual.to_header_value(), "\"\"");
    }
}
