use super::*;

const EVENT: &str = r#"{"rev":41,"pool":{"rev":7,"all":false,"targets":[{"uid":"s-00c4","endpoint":
    "10.1.0.9:6565","az":"east","model":"std","pod_group":2,"state":"draining","capacity_hint":4,"boot_ms":
    1500}]}}"#;

#[test]
fn a_line_is_an_event_or_the_number_of_the_last_event() {
    assert_eq!(parse_line(b"41"), Ok(Line::LastNumber(41)));
    let Ok(Line::Event(event)) = parse_line(EVENT.as_bytes()) else { panic!("not parsed as an event") };
    let EngineList { is_complete, entries } = event.list.unwrap();
    assert_eq!((event.number, is_complete, entries.len()), (41, false, 1));
    let entry = &entries[0];
    assert_eq!((entry.uid.as_str(), entry.cell, entry.started_at), ("s-00c4", 2, Some(1.5)));
    assert_eq!((entry.address, entry.stage), ("10.1.0.9:6565".parse().unwrap(), EngineStage::Draining));
    let without_start_time = EVENT.replace("1500", "0");
    let Ok(Line::Event(event)) = parse_line(without_start_time.as_bytes()) else {
        panic!("not parsed as an event")
    };
    assert_eq!(event.list.unwrap().entries[0].started_at, None);
    assert_eq!(parse_line(br#"{"rev":3}"#), Ok(Line::Event(Event { number: 3, list: None })));
}

#[test]
fn the_error_of_a_malformed_event_begins_with_the_field() {
    for (valid, invalid, field) in [
        ("\"rev\":41", "\"rev\":-1", "rev"),
        ("\"all\":false", "\"all\":3", "pool.all"),
        ("\"targets\":[", "\"targets\":7,\"x\":[", "pool.targets"),
        ("10.1.0.9:6565", "here", "pool.targets.0.endpoint"),
        ("draining", "asleep", "pool.targets.0.state"),
        ("s-00c4", "", "pool.targets.0.uid"),
        ("1500", "\"soon\"", "pool.targets.0.boot_ms"),
    ] {
        let Err(Malformed(message)) = parse_line(EVENT.replace(valid, invalid).as_bytes()) else {
            panic!("{invalid} was accepted")
        };
        assert!(message.starts_with(&format!("{field}: expected")), "{message}");
    }
    assert!(parse_line(b"").is_err() && parse_line(b"{\"rev\":4").is_err() && parse_line(b"\xff").is_err());
}
