use super::*;

const GOOD: &str = include_str!("../../../../deploy/teams.json");

#[test]
fn the_example_is_read_its_names_find_their_lines_and_the_schema_is_the_one_checked_in() {
    let file = read_teams(GOOD).unwrap();
    let (line, names) = file.tenant_queue(0.0, &[]);
    let of = |name| names.names()[names.index_of(Some(name))].clone();
    assert_eq!((of("mondego"), of("vouga")), ("mondego".to_string(), "vouga".to_string()));
    // A group is no team, and a made-up name has a line among the others.
    assert!(of("north").starts_with("others-") && of("no-such").starts_with("others-"));
    assert!(names.names()[names.index_of(None)].starts_with("others-") && line.is_empty());
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/teams.schema.json");
    let text = std::fs::read_to_string(path).unwrap();
    assert!(text == teams_schema(), "stale: write `cleatgw schema teams` to deploy/teams.schema.json");
}

#[test]
fn errors_name_their_field() {
    for (was, is, words) in [
        ("\"mondego\", \"weight\": 85", "\"mondego\", \"weight\": 0", "teams[0].weight: expected a weight"),
        ("\"mondego\"", "\"vouga\"", "teams[1].name: expected a name of its own, got vouga"),
        ("\"mondego\"", "\"mon dego\"", "teams[0].name: expected 1 to 64 letters"),
        ("\"weight\": 85", "\"wait\": 85", "teams[0].wait: unknown field `wait`"),
        (
            "\"weight\": 10,",
            "\"weight\": 10, \"most_out\": 3,",
            "teams[2].most_out: expected none, as it is a group",
        ),
        ("\"rate\": 0.5", "\"rate\": -1", "teams[2].teams[0].budget.rate: expected seconds from 0"),
    ] {
        assert!(GOOD.contains(was), "{was}");
        let said = read_teams(&GOOD.replacen(was, is, 1)).unwrap_err().to_string();
        assert!(said.contains(words), "{said}");
    }
    let deep = r#"{"teams":[{"name":"a","weight":1,"teams":[{"name":"b","weight":1,"teams":[{"name":"c","weight":1,
        "teams":[{"name":"d","weight":1}]}]}]}]}"#;
    assert!(read_teams(deep).unwrap_err().to_string().contains("nested at most three deep"));
}
