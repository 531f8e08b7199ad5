use super::*;
use std::path::Path;

const EXAMPLE: &str = include_str!("../../../deploy/service.json");

#[test]
fn the_example_is_valid_and_the_checked_in_schema_is_current() {
    let file = read_service(EXAMPLE).unwrap();
    assert_eq!((file.bgp.peers.len(), file.addresses.len()), (2, 2));
    let config = file.announcer_config();
    assert_eq!((config.instance_community.instance, config.max_changes), (u32::from(file.bgp.identifier), 6));
    let peer = file.bgp.peers[0].peer_config(&file.bgp, &file.addresses);
    assert_eq!((peer.families, peer.hold_time), ([true, true], 9));
    let checked_in = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/service.schema.json");
    let text = std::fs::read_to_string(checked_in).unwrap();
    assert!(
        text == service_schema(),
        "the schema is outdated: write the output of `cleatgw schema service` to deploy/service.schema.json"
    );
}

/// Changes the example file in one place each, and checks the error.
#[test]
fn every_error_names_the_field_the_expected_value_and_the_actual_one() {
    let error_after = |old: &str, new: &str| {
        assert!(EXAMPLE.contains(old), "the example does not contain {old}");
        read_service(&EXAMPLE.replacen(old, new, 1)).unwrap_err().to_string()
    };
    for (old, new, expected) in [
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
        ("\"tor-b\"", "\"tor-a\"", "field bgp.peers[1].name: expected a unique name, got tor-a"),
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
        let message = error_after(old, new);
        assert!(message.contains(expected), "{new}: {message}");
    }
    assert!(read_service(&(EXAMPLE.to_string() + "x")).unwrap_err().to_string().contains("expected the end"));
    assert!(read_service(&" ".repeat(MAX_FILE_BYTES + 1)).unwrap_err().to_string().contains("at most"));
    let original = read_service(EXAMPLE).unwrap();
    let changed = read_service(&EXAMPLE.replacen("\"asn\": 64512", "\"asn\": 64513", 1)).unwrap();
    assert_eq!(original.changed_fixed_fields(&changed), ["bgp.asn"]);
}

#[test]
fn a_damping_that_can_never_suppress_an_address_is_rejected() {
    let read_with = |damping: &str| {
        read_service(&EXAMPLE.replacen(
            "\"settle_s\": 5",
            &format!("\"settle_s\": 5, \"damping\": {damping}"),
            1,
        ))
    };
    assert!(read_with(r#"{"suppress": 1, "reuse": 2}"#)
        .unwrap_err()
        .to_string()
        .starts_with("field damping.suppress"));
    assert!(read_with(r#"{"suppress": 900}"#)
        .unwrap_err()
        .to_string()
        .starts_with("field damping.longest_s"));
    assert!(read_with(r#"{"suppress": 4}"#).is_ok());
}
