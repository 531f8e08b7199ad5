use super::*;
use std::path::Path;

const GOOD: &str = include_str!("../../../deploy/service.json");

#[test]
fn the_example_is_read_and_the_schema_is_the_one_checked_in() {
    let file = read_service(GOOD).unwrap();
    assert_eq!((file.bgp.peers.len(), file.addresses.len()), (2, 2));
    let terms = file.announcer_config();
    assert_eq!((terms.instance_community.instance, terms.max_changes), (u32::from(file.bgp.identifier), 6));
    let peer = file.bgp.peers[0].peer_config(&file.bgp, &file.addresses);
    assert_eq!((peer.families, peer.hold_time), ([true, true], 9));
    let checked_in = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/service.schema.json");
    let text = std::fs::read_to_string(checked_in).unwrap();
    assert!(text == service_schema(), "stale: write `cleatgw schema` to deploy/service.schema.json");
}

/// Each change of the good file, and what must be said of it.
#[test]
fn every_error_names_its_field_what_was_expected_and_what_stood_there() {
    let complaint = |was: &str, is: &str| {
        assert!(GOOD.contains(was), "{was}");
        read_service(&GOOD.replacen(was, is, 1)).unwrap_err().to_string()
    };
    for (was, is, words) in [
        ("\"asn\": 64512", "\"asn\": \"x\"", "field bgp.asn: invalid type: string \"x\", expected u32"),
        ("\"asn\": 64512", "\"asn\": 0", "field bgp.asn: expected 1 to 4294967295, got 0"),
        ("\"asn\": 64512", "\"as\": 64512", "field bgp.as: unknown field `as`, expected one of `asn`"),
        ("\"asn\": 64500", "\"asn\": 0", "field bgp.peers[0].asn: expected 1 to 4294967295, got 0"),
        ("\"hold_s\": 9", "\"hold_s\": 2", "field bgp.peers[0].hold_s: expected 0, or 3 to 65535, got 2"),
        ("\"hold_s\": 9", "\"hold_s\": 70000", "field bgp.peers[0].hold_s: invalid value: integer `70000`"),
        (
            "\"hold_s\": 9",
            "\"passive\": true",
            "field bgp.peers[0].passive: expected bgp.listen for a passive peer",
        ),
        ("\"tor-b\"", "\"tor-a\"", "field bgp.peers[1].name: expected a name of its own, got tor-a"),
        (
            "198.51.100.7/32",
            "198.51.100.7/24",
            "field addresses[0]: expected 198.51.100.0/24 without host bits",
        ),
        ("198.51.100.7/32", "198.51.100.7", "field addresses[0]: invalid IP address syntax"),
        ("198.51.100.7/32", "0.0.0.0/0", "field addresses[0]: expected a unicast prefix, got 0.0.0.0/0"),
        ("\"64512:666\"", "\"64512:70000\"", "field last_resort.communities[0]: expected two numbers"),
        ("\"settle_s\": 5", "\"settle_s\": -1", "field settle_s: expected seconds from 0 to 3600, got -1"),
        ("\"withdraw\"", "\"forget\"", "field signs.engines.effect: unknown variant `forget`"),
        ("\"bgp\":", "\"bgp\"", "expected JSON"),
    ] {
        let said = complaint(was, is);
        assert!(said.contains(words), "{is}: {said}");
    }
    assert!(read_service(&(GOOD.to_string() + "x")).unwrap_err().to_string().contains("expected the end"));
    assert!(read_service(&" ".repeat(MAX_FILE_BYTES + 1)).unwrap_err().to_string().contains("at most"));
    let same = read_service(GOOD).unwrap();
    let other = read_service(&GOOD.replacen("\"asn\": 64512", "\"asn\": 64513", 1)).unwrap();
    assert_eq!(same.changed_fixed_fields(&other), ["bgp.asn"]);
}

#[test]
fn a_damping_that_can_never_hold_anything_back_is_refused() {
    let with = |damping: &str| {
        read_service(&GOOD.replacen(
            "\"settle_s\": 5",
            &format!("\"settle_s\": 5, \"damping\": {damping}"),
            1,
        ))
    };
    assert!(with(r#"{"suppress": 1, "reuse": 2}"#)
        .unwrap_err()
        .to_string()
        .starts_with("field damping.suppress"));
    assert!(with(r#"{"suppress": 900}"#).unwrap_err().to_string().starts_with("field damping.longest_s"));
    assert!(with(r#"{"suppress": 4}"#).is_ok());
}
