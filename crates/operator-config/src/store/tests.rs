use super::*;
use std::path::Path;

const GOOD: &str = include_str!("../../../../deploy/store.json");

#[test]
fn the_example_is_read_the_schema_is_the_one_checked_in_and_errors_name_the_field() {
    assert!(read_store(GOOD).unwrap().path.ends_with("kept.redb"));
    let checked_in = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/store.schema.json");
    let text = std::fs::read_to_string(checked_in).unwrap();
    assert!(text == store_schema(), "stale: write `cleatgw schema store` to deploy/store.schema.json");
    for (text, words) in [
        (r#"{"path": "/"}"#, "field path: expected the path of a file, got /"),
        (r#"{"path": 3}"#, "field path: invalid type"),
        (r#"{"file": "x"}"#, "field file: unknown field"),
        ("{}", "missing field `path`"),
    ] {
        let said = read_store(text).unwrap_err().to_string();
        assert!(said.contains(words), "{text}: {said}");
    }
}
