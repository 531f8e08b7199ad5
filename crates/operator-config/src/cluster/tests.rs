use super::*;
use std::path::Path;

const EXAMPLE: &str = include_str!("../../../../deploy/cluster.json");

#[test]
fn the_example_is_valid_and_the_checked_in_schema_is_current() {
    let file = read_cluster(EXAMPLE).unwrap();
    assert_eq!((file.routers.len(), file.router_index("n2").unwrap()), (3, 1));
    assert_eq!(file.detector_settings(), DetectorSettings::default());
    let checked_in = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/cluster.schema.json");
    let text = std::fs::read_to_string(checked_in).unwrap();
    assert!(
        text == cluster_schema(),
        "the schema is outdated: write the output of `cleatgw schema cluster` to deploy/cluster.schema.json"
    );
}

#[test]
fn every_error_names_the_field_the_expected_value_and_the_actual_one() {
    for (old, new, expected) in [
        (
            "\"name\": \"coimbra\"",
            "\"name\": \"two words\"",
            "field name: expected 1 to 64 printable ASCII characters",
        ),
        ("\"n2\"", "\"n1\"", "field routers[1].name: expected a unique name, got n1"),
        ("127.0.0.2:7400", "127.0.0.1:7400", "field routers[1].address: expected a unique address"),
        (
            "127.0.0.2:7400",
            "127.0.0.2:0",
            "field routers[1].address: expected an address that other routers can",
        ),
        ("127.0.0.2:7400", "127.0.0.2", "field routers[1].address: invalid socket address"),
        (
            "127.0.0.2:7400",
            "10.0.0.2:7400",
            "field routers[1].address: expected an address in one of the `networks`",
        ),
        ("[\"127.0.0.0/8\"]", "[]", "field networks: expected 1 to 64 networks, got 0"),
        ("[\"127.0.0.0/8\"]", "[\"loopback\"]", "field networks[0]: invalid IP address syntax"),
        ("0.12", "0.3", "field pace.round_trip_s: expected seconds from 0.001 to 0.2, got 0.3"),
        ("[\"nightly\"]", "[\"a\", \"a\"]", "field duties[1]: expected a unique name, got a"),
        ("[\"nightly\"]", "[\"two words\"]", "field duties[0]: expected 1 to 64 printable ASCII characters"),
        ("\"suspicion_s\": 1", "\"suspicion\": 1", "field pace.suspicion: unknown field"),
    ] {
        assert!(EXAMPLE.contains(old), "the example does not contain {old}");
        let message = read_cluster(&EXAMPLE.replacen(old, new, 1)).unwrap_err().to_string();
        assert!(message.contains(expected), "{new}: {message}");
    }
    let file = read_cluster(EXAMPLE).unwrap();
    assert!(file
        .router_index("n9")
        .unwrap_err()
        .to_string()
        .contains("field routers: expected a router named n9, which is the name of this router"));
}

#[test]
fn another_list_of_routers_is_another_cluster_but_another_address_is_not() {
    let file = read_cluster(EXAMPLE).unwrap();
    let hash = |old: &str, new: &str| read_cluster(&EXAMPLE.replacen(old, new, 1)).unwrap().hash();
    assert_eq!(file.hash(), hash("127.0.0.2:7400", "127.0.0.2:7401"));
    assert_ne!(file.hash(), hash("\"n3\"", "\"n4\""));
    assert_ne!(file.hash(), hash("\"name\": \"coimbra\"", "\"name\": \"other\""));
}
