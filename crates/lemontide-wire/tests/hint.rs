//! Parsing of the request hint.

use lemontide_wire::hint::RequestHint;

#[test]
fn valid_hints_are_parsed_and_invalid_ones_are_none() {
    let parsed =
        RequestHint::parse(b"lane=paid, tenant=\"an office\", returned, within=2.5, later=1").expect("valid");
    let hint = RequestHint {
        class: "paid".into(),
        tenant: "an office".into(),
        is_retry: true,
        give_up_in_s: Some(2.5),
    };
    assert_eq!(parsed, hint);
    assert_eq!(RequestHint::parse(b"lane=\"a b\", within=3").and_then(|hint| hint.give_up_in_s), Some(3.0));
    for invalid in [&b""[..], b"returned", b"lane=", b"lane=(a b)", b"LANE=x", b"\xff", &[b'a'; 600]] {
        assert_eq!(RequestHint::parse(invalid), None);
    }
    assert_eq!(RequestHint::parse(b"lane=x, within=-1").and_then(|hint| hint.give_up_in_s), None);
}
