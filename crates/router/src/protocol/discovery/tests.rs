use super::*;

const EVENT: &str = r#"{"rev":41,"pool":{"rev":7,"all":false,"targets":[{"uid":"s-00c4","endpoint":
    "10.1.0.9:6565","az":"east","model":"std","pod_group":2,"state":"draining","capacity_hint":4,"boot_ms":
    1500}]}}"#;

#[test]
fn lines_are_events_or_the_last_number() {
    assert_eq!(line(b"41"), Ok(Line::Last(41)));
    let Ok(Line::Event(event)) = line(EVENT.as_bytes()) else { panic!("no event") };
    let EngineList { is_complete: whole, entries } = event.list.unwrap();
    assert_eq!((event.number, whole, entries.len()), (41, false, 1));
    let entry = &entries[0];
    assert_eq!((entry.uid.as_str(), entry.cell, entry.started_at), ("s-00c4", 2, Some(1.5)));
    assert_eq!((entry.address, entry.stage), ("10.1.0.9:6565".parse().unwrap(), EngineStage::Draining));
    let later = EVENT.replace("1500", "0");
    let Ok(Line::Event(event)) = line(later.as_bytes()) else { panic!("no event") };
    assert_eq!(event.list.unwrap().entries[0].started_at, None);
    assert_eq!(line(br#"{"rev":3}"#), Ok(Line::Event(Event { number: 3, list: None })));
}

#[test]
fn what_is_wrong_with_a_line_is_named_by_its_field() {
    for (was, is, field) in [
        ("\"rev\":41", "\"rev\":-1", "rev"),
        ("\"all\":false", "\"all\":3", "pool.all"),
        ("\"targets\":[", "\"targets\":7,\"x\":[", "pool.targets"),
        ("10.1.0.9:6565", "here", "pool.targets.0.endpoint"),
        ("draining", "asleep", "pool.targets.0.state"),
        ("s-00c4", "", "pool.targets.0.uid"),
        ("1500", "\"soon\"", "pool.targets.0.boot_ms"),
    ] {
        let Err(Malformed(words)) = line(EVENT.replace(was, is).as_bytes()) else { panic!("{is} was taken") };
        assert!(words.starts_with(&format!("{field}: expected")), "{words}");
    }
    assert!(line(b"").is_err() && line(b"{\"rev\":4").is_err() && line(b"\xff").is_err());
}
