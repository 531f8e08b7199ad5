use super::*;

const BEGIN: &str = "BEGIN router_1 7 balancers=1 categories.count=1 categories.0.name=look \
    categories.0.objective-us=1000000 categories.0.idempotency=safe limits.max-attempts=3 \
    shapes=std zones=a family-info.cores-by-kind=8 unheard-of.setting=3";

/// Passes lines to a host. Returns its last reply, or the error of the line that it rejected.
fn read_lines(host: &mut Host, lines: &[&str]) -> Result<String, String> {
    let mut last = String::new();
    for (number, line) in lines.iter().enumerate() {
        last = host.read_line(number as u64 + 1, line).map_err(|error| error.to_string())?.unwrap_or(last);
    }
    Ok(last)
}

/// A host with one instance that knows one engine.
fn started_host() -> Host {
    let mut host = Host::new(None, false);
    let lines = ["MARK 1000000 1", BEGIN, "SHEET 0 1", "ENTRY - std a 10.0.0.1:1 Ready 0 1"];
    read_lines(&mut host, &lines).unwrap();
    read_lines(&mut host, &["BACKENDS_CHANGED router_1 0 disk 1", "EOB"]).unwrap();
    host
}

#[test]
fn a_request_is_assigned_to_an_engine_and_its_batch_acknowledged() {
    let call = "CALL router_1 77 - - - look - 11 0 9000000";
    let reply = read_lines(&mut started_host(), &["MARK 2000000 2", call, "EOB"]).unwrap();
    assert!(reply.contains("ASSIGN router_1 77 0 10.0.0.1:1\n"), "{reply}");
    assert!(reply.ends_with("ACK 2\n"));
}

#[test]
fn an_empty_batch_is_acknowledged() {
    assert_eq!(read_lines(&mut Host::new(None, false), &["MARK 5 9", "EOB", ""]).unwrap(), "ACK 9\n");
}

#[test]
fn a_list_replaces_an_earlier_one_with_the_same_number_in_a_batch() {
    let mut host = started_host();
    let lines = ["MARK 2000000 2", "SHEET 0 1", "ENTRY - std a 10.0.0.2:1 Ready 0 1"];
    read_lines(&mut host, &lines).unwrap();
    read_lines(&mut host, &["BACKENDS_CHANGED router_1 0 snapshot 2", "SHEET 0 0"]).unwrap();
    let reply = read_lines(&mut host, &["CALL router_1 5 - - - look - 11 0 9000000", "EOB"]).unwrap();
    assert!(reply.contains("10.0.0.2:1"), "{reply}");
}

#[test]
fn an_instance_that_is_killed_and_begins_again_in_a_batch_has_forgotten_its_requests() {
    let mut host = started_host();
    let call = "CALL router_1 77 - - - look - 11 0 9000000";
    read_lines(&mut host, &["MARK 2000000 2", call, "KILLED router_1", BEGIN]).unwrap();
    let reply = read_lines(&mut host, &["WITHDRAWN router_1 77", "EOB"]).unwrap();
    assert!(!reply.contains(" 77 "), "{reply}");
}

#[test]
fn errors_state_the_line_the_field_and_what_was_expected() {
    let error_of =
        |line: &str| read_lines(&mut started_host(), &["MARK 2000000 2", line, "EOB"]).unwrap_err();
    let call = "CALL router_1 77 - - - look - 11 0 soon";
    assert_eq!(error_of(call), "line 2: CALL: field valid-until-us: expected a whole number, got \"soon\"");
    assert!(error_of("CALL router_1").contains("field req: expected a whole number, got \"nothing\""));
    assert!(error_of("BACKENDS_CHANGED router_1 9 diff 2").contains("field ref: expected a sheet"));
    assert!(error_of("CALL router_8 1").contains("expected an instance that has begun"));
    assert!(error_of("HELLO router_1").contains("expected an event of the wire page"));
    assert!(error_of("PEER router_1 2 ?").contains("field content: expected base64"));
    assert!(error_of("BEGIN router_2 1 balancers=many").contains("setting balancers: expected a number"));
    assert!(error_of("SHEET 3 2").contains("2 more ENTRY lines"));
}

#[test]
fn instances_report_a_failing_engine_to_peers_only_if_the_flag_and_the_deployment_allow_it() {
    for (sends_digests, peers, is_expected) in [(true, 1, true), (false, 1, false), (true, 0, false)] {
        let mut host = Host::new(None, sends_digests);
        let begin =
            BEGIN.replace("balancers=1", "balancers=3 self-index=1") + &format!(" limits.peers={peers}");
        let lines = ["MARK 1000000 1", &begin, "SHEET 0 1", "ENTRY - std a 10.0.0.1:1 Ready 0 1"];
        read_lines(&mut host, &lines).unwrap();
        let call = "CALL router_1 77 - - - look - 11 0 9000000";
        read_lines(&mut host, &["BACKENDS_CHANGED router_1 0 disk 1", call, "EOB"]).unwrap();
        let failed = "OUTCOME router_1 77 - 0 10.0.0.1:1 err 0 100000 -";
        let reply =
            read_lines(&mut host, &["MARK 2000000 2", failed, "PEER router_1 2 AAAA", "EOB"]).unwrap();
        assert_eq!(reply.contains("POST router_1 "), is_expected, "{reply}");
        assert!(!reply.contains("POST router_1 1 "), "the instance sent a digest to itself: {reply}");
    }
}

#[test]
fn extreme_settings_cause_no_panic() {
    for settings in ["", "balancers=0", "shapes= zones= limits.max-attempts=0 rules.look-back-us=0"] {
        let mut host = Host::new(None, false);
        let begin = format!("BEGIN router_1 7 {settings} categories.count=1 categories.0.name=look");
        read_lines(&mut host, &["MARK 1 1", &begin, "SHEET 0 1", "ENTRY - x y e:1 Ready 0 1"]).unwrap();
        read_lines(&mut host, &["BACKENDS_CHANGED router_1 0 disk 1"]).unwrap();
        let reply = read_lines(&mut host, &["CALL router_1 5 - - - look - 11 0 900", "EOB"]).unwrap();
        assert!(!reply.contains("FAULT"), "{reply}");
    }
}
