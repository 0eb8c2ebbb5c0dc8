//! Parsing and formatting of CMCD.

use lemontide_wire::cmcd::{query_value, Cmcd, MAX_CMCD_BYTES};
use proptest::prelude::*;

#[test]
fn headers_query_and_json_are_parsed_alike() {
    let cmcd = Cmcd {
        session_id: Some("v\"7".into()),
        is_startup: true,
        top_kbps: Some(8000),
        throughput_kbps: Some(25400),
        buffer_ms: Some(300),
        ..Cmcd::default()
    };
    let headers = cmcd.to_headers();
    assert_eq!(Cmcd::from_headers(headers.iter().map(|header| header.1.as_bytes())), cmcd);
    let query = "x=1&CMCD=bl%3D300%2Cmtp%3D25400%2Csid%3D%22v%5C%227%22%2Csu%2Ctb%3D8000";
    assert_eq!(Cmcd::from_headers([&query_value(query).expect("the query has CMCD")[..]]), cmcd);
    let json = serde_json::json!({"bl": 300, "mtp": 25400, "sid": "v\"7", "su": true, "tb": [8000]});
    assert_eq!(Cmcd::from_json(&json), cmcd);
}

#[test]
fn a_malformed_key_does_not_lose_the_others() {
    let cmcd = Cmcd::from_headers([&b"tb=8000,BAD KEY,sid=\"a,b\",bl=\"far\",com.example-x=?1,mtp=-3"[..]]);
    assert_eq!(cmcd.top_kbps, Some(8000));
    assert_eq!(cmcd.session_id.as_deref(), Some("a,b"));
    assert_eq!((cmcd.skipped_keys, cmcd.other_keys.len()), (3, 1));
    assert_eq!(Cmcd::from_headers([&vec![b'a'; MAX_CMCD_BYTES + 1][..]]).skipped_keys, 1);
    assert_eq!(query_value("CMCD=%4"), None);
}

proptest! {
    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = Cmcd::from_headers([&bytes[..]]);
        let _ = query_value(&String::from_utf8_lossy(&bytes));
    }
}
