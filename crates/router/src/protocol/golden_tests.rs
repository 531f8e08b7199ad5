//! Compares what the router writes to clients, engines and the discovery service, and the errors of its parsers, with golden
//! files. They were recorded with the version before a refactoring, so that the protocols' bytes do not change.

use super::statement::StatementError;
use super::{discovery, engine, mysql, statement};
use expect_test::expect_file;

fn escaped(bytes: &[u8]) -> String {
    bytes.escape_ascii().to_string()
}

/// What `write` writes, escaped, as one line.
fn written(write: impl FnOnce(&mut Vec<u8>)) -> String {
    let mut out = Vec::new();
    write(&mut out);
    escaped(&out) + "\n"
}

#[test]
fn requests_to_engines_and_to_the_discovery_service_match_the_golden_file() {
    let mut request = engine::EngineRequest {
        id: "9b1f03aa5c7e2d41",
        class: "report",
        wait: 1.2341,
        idempotency_key: None,
        grant_mb: 0.0,
        lane: 1,
        statement: b"SELECT 1",
    };
    let mut text = written(|out| engine::EncodedRequest::new(&request).write(out, 1.2341));
    (request.idempotency_key, request.grant_mb, request.lane) = (Some("5c0f"), 95.2, 3);
    text += &written(|out| engine::EncodedRequest::new(&request).write(out, 0.0));
    text += &written(|out| engine::write_page_request(out, "a1", 2));
    text += &written(|out| engine::write_close(out, "a1"));
    text += &written(|out| engine::write_lane(out, "a1", 3));
    text += &written(|out| engine::write_cancel(out, "a1"));
    text += &written(|out| engine::write_ping(out, "t"));
    text += &written(|out| discovery::write_watch(out, 41));
    expect_file!["golden/requests.txt"].assert_eq(&text);
}

#[test]
fn answers_to_clients_match_the_golden_file() {
    let mut text = written(|out| mysql::write_greeting(out, 513, *b"abcdefghijklmnopqrst"));
    let mut sequence = 1;
    text += &written(|out| mysql::write_ok(out, &mut sequence));
    text += &written(|out| mysql::write_eof(out, &mut sequence));
    text += &written(|out| mysql::write_text(out, &mut sequence, "taken: 3  open: 0"));
    text += &written(|out| mysql::write_rejected(out, &mut sequence, None));
    text += &written(|out| mysql::write_rejected(out, &mut sequence, Some(0.2501)));
    text += &written(|out| mysql::write_failed(out, &mut sequence));
    text += &written(|out| mysql::write_killed(out, &mut sequence));
    let codes = [
        mysql::ACCESS_DENIED,
        mysql::UNKNOWN_COMMAND,
        mysql::NO_SUCH_SESSION,
        mysql::PACKET_TOO_LARGE,
        mysql::PACKETS_OUT_OF_ORDER,
        mysql::PARSE_ERROR,
        mysql::MALFORMED_PACKET,
    ];
    for code in codes {
        text += &written(|out| mysql::write_error(out, &mut sequence, code, "why"));
    }
    let names = ["column_1", "column_2"].map(String::from);
    let long = vec![b'x'; 300];
    let rows = [vec![&b"a"[..], b""], vec![&b"1"[..], &long]];
    let rows = || rows.iter().map(|row| row.iter().copied());
    text += &written(|out| mysql::write_result_set(out, &mut sequence, &names, rows()));
    expect_file!["golden/answers.txt"].assert_eq(&text);
}

/// The errors of refused statements are sent to the client, so their text must not change.
#[test]
fn errors_about_statements_match_the_golden_file() {
    let statements = [
        "SELECT 1",
        "",
        "KILL x",
        "/* op=look */ SELECT 1",
        "/* op=look,call=9b1f03aa5c7e2d41 */ SELECT 1",
        "/* op=look,call=9b1f,ttl=5 */ SELECT 1",
        "/* op=look,call=9b1f03aa5c7e2d41,ttl=soon */ SELECT 1",
        "/* op=look,call=9b1f03aa5c7e2d41,ttl=5,work=-1 */ SELECT 1",
        "/* op=look,op=see,call=9b1f03aa5c7e2d41,ttl=5 */ SELECT 1",
        "/* op=look,call=9b1f03aa5c7e2d41,ttl=5,org=two words */ SELECT 1",
    ];
    let mut text = String::new();
    for sql in statements {
        let outcome = match statement::parse(sql.as_bytes()) {
            Ok(_) => "taken".to_string(),
            Err(error) => error.to_string(),
        };
        text += &format!("{sql} -> {outcome}\n");
    }
    let known = ["look".to_string(), "report".to_string()];
    text += &format!("{}\n", StatementError::unknown_class("see".to_string(), &known));
    text += &format!("{}\n", StatementError::IdInUse { id: "9b1f03aa5c7e2d41".to_string() });
    text += &format!("{}\n", StatementError::MissingIdempotencyKey { class: "look".to_string() });
    expect_file!["golden/statements.txt"].assert_eq(&text);
}

#[test]
fn errors_about_discovery_lines_match_the_golden_file() {
    let lines = [
        "41",
        "",
        "{\"rev\":-1}",
        "{\"rev\":3}",
        r#"{"rev":4,"pool":{"all":3}}"#,
        r#"{"rev":4,"pool":{"all":true,"targets":7}}"#,
        r#"{"rev":4,"pool":{"all":true,"targets":[{"uid":""}]}}"#,
        r#"{"rev":4,"pool":{"all":true,"targets":[{"uid":"s","endpoint":"here"}]}}"#,
        r#"{"rev":4,"pool":{"all":true,"targets":[{"uid":"s","endpoint":"1.2.3.4:5","state":"asleep"}]}}"#,
        r#"{"rev":4,"pool":{"all":true,"targets":[{"uid":"s","endpoint":"1.2.3.4:5","state":"ready","boot_ms":"x"}]}}"#,
    ];
    let mut text = String::new();
    for line in lines {
        let outcome = match discovery::parse_line(line.as_bytes()) {
            Ok(_) => "read".to_string(),
            Err(discovery::Malformed(message)) => message,
        };
        text += &format!("{line} -> {outcome}\n");
    }
    expect_file!["golden/discovery.txt"].assert_eq(&text);
}
