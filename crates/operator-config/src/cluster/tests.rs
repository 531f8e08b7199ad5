use super::*;
use std::path::Path;

const GOOD: &str = include_str!("../../../../deploy/cluster.json");

#[test]
fn the_example_is_read_and_the_schema_is_the_one_checked_in() {
    let file = read_cluster(GOOD).unwrap();
    assert_eq!((file.routers.len(), file.router_index("n2").unwrap()), (3, 1));
    assert_eq!(file.detector_settings(), DetectorSettings::default());
    let checked_in = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/cluster.schema.json");
    let text = std::fs::read_to_string(checked_in).unwrap();
    assert!(text == cluster_schema(), "stale: write `cleatgw schema cluster` to deploy/cluster.schema.json");
}

#[test]
fn every_error_names_its_field_what_was_expected_and_what_stood_there() {
    for (was, is, words) in [
        ("\"name\": \"coimbra\"", "\"name\": \"two words\"", "field name: expected 1 to 64 letters"),
        ("\"n2\"", "\"n1\"", "field routers[1].name: expected a name of its own, got n1"),
        ("127.0.0.2:7400", "127.0.0.1:7400", "field routers[1].address: expected an address of its own"),
        ("127.0.0.2:7400", "127.0.0.2:0", "field routers[1].address: expected an address that others can"),
        ("127.0.0.2:7400", "127.0.0.2", "field routers[1].address: invalid socket address"),
        ("127.0.0.2:7400", "10.0.0.2:7400", "field routers[1].address: expected one in the `networks`"),
        ("[\"127.0.0.0/8\"]", "[]", "field networks: expected 1 to 64 networks, got 0"),
        ("[\"127.0.0.0/8\"]", "[\"loopback\"]", "field networks[0]: invalid IP address syntax"),
        ("0.12", "0.3", "field pace.round_trip_s: expected seconds from 0.001 to 0.2, got 0.3"),
        ("[\"nightly\"]", "[\"a\", \"a\"]", "field duties[1]: expected a name of its own, got a"),
        ("[\"nightly\"]", "[\"two words\"]", "field duties[0]: expected 1 to 64 letters"),
        ("\"suspicion_s\": 1", "\"suspicion\": 1", "field pace.suspicion: unknown field"),
    ] {
        assert!(GOOD.contains(was), "{was}");
        let said = read_cluster(&GOOD.replacen(was, is, 1)).unwrap_err().to_string();
        assert!(said.contains(words), "{is}: {said}");
    }
    let file = read_cluster(GOOD).unwrap();
    assert!(file
        .router_index("n9")
        .unwrap_err()
        .to_string()
        .contains("field routers: expected one named n9"));
}

#[test]
fn a_list_that_differs_is_another_cluster_and_an_address_is_not() {
    let file = read_cluster(GOOD).unwrap();
    let hash = |was: &str, is: &str| read_cluster(&GOOD.replacen(was, is, 1)).unwrap().hash();
    assert_eq!(file.hash(), hash("127.0.0.2:7400", "127.0.0.2:7401"));
    assert_ne!(file.hash(), hash("\"n3\"", "\"n4\""));
    assert_ne!(file.hash(), hash("\"name\": \"coimbra\"", "\"name\": \"other\""));
}
