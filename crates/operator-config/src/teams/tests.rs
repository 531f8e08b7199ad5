use super::*;

const EXAMPLE: &str = include_str!("../../../../deploy/teams.json");

#[test]
fn the_example_is_valid_its_names_have_queues_and_the_checked_in_schema_is_current() {
    let file = read_teams(EXAMPLE).unwrap();
    let (queue, names) = file.tenant_queue(0.0, &[]);
    let queue_name = |name| names.names()[names.index_of(Some(name))].clone();
    assert_eq!((queue_name("mondego"), queue_name("vouga")), ("mondego".to_string(), "vouga".to_string()));
    // A group is not a tenant, so its name shares a queue with unknown names.
    assert!(queue_name("north").starts_with("others-") && queue_name("no-such").starts_with("others-"));
    assert!(names.names()[names.index_of(None)].starts_with("others-") && queue.is_empty());
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/teams.schema.json");
    let text = std::fs::read_to_string(path).unwrap();
    assert!(
        text == teams_schema(),
        "the schema is outdated: write the output of `cleatgw schema teams` to deploy/teams.schema.json"
    );
}

#[test]
fn errors_name_the_field() {
    for (old, new, expected) in [
        ("\"mondego\", \"weight\": 85", "\"mondego\", \"weight\": 0", "teams[0].weight: expected a weight"),
        ("\"mondego\"", "\"vouga\"", "teams[1].name: expected a unique name, got vouga"),
        ("\"mondego\"", "\"mon dego\"", "teams[0].name: expected 1 to 64 printable ASCII characters"),
        ("\"weight\": 85", "\"wait\": 85", "teams[0].wait: unknown field `wait`"),
        (
            "\"weight\": 10,",
            "\"weight\": 10, \"most_out\": 3,",
            "teams[2].most_out: expected none for a group of tenants",
        ),
        ("\"rate\": 0.5", "\"rate\": -1", "teams[2].teams[0].budget.rate: expected seconds from 0"),
    ] {
        assert!(EXAMPLE.contains(old), "the example does not contain {old}");
        let message = read_teams(&EXAMPLE.replacen(old, new, 1)).unwrap_err().to_string();
        assert!(message.contains(expected), "{message}");
    }
    let too_deep = r#"{"teams":[{"name":"a","weight":1,"teams":[{"name":"b","weight":1,"teams":[{"name":"c","weight":1,
        "teams":[{"name":"d","weight":1}]}]}]}]}"#;
    assert!(read_teams(too_deep).unwrap_err().to_string().contains("tenants nested at most three deep"));
}
