use super::*;
use std::path::Path;

const EXAMPLE: &str = include_str!("../../../../deploy/store.json");

#[test]
fn the_example_is_valid_the_checked_in_schema_is_current_and_errors_name_the_field() {
    assert!(read_store(EXAMPLE).unwrap().path.ends_with("kept.redb"));
    let checked_in = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/store.schema.json");
    let text = std::fs::read_to_string(checked_in).unwrap();
    assert!(
        text == store_schema(),
        "the schema is outdated: write the output of `cleatgw schema store` to deploy/store.schema.json"
    );
    for (text, expected) in [
        (r#"{"path": "/"}"#, "field path: expected the path of a file, got /"),
        (r#"{"path": 3}"#, "field path: invalid type"),
        (r#"{"file": "x"}"#, "field file: unknown field"),
        ("{}", "missing field `path`"),
    ] {
        let message = read_store(text).unwrap_err().to_string();
        assert!(message.contains(expected), "{text}: {message}");
    }
}
