//! Golden bytes: what the router writes to clients, engines and the discovery service, and what it makes of what these
//! write, as the version before the code was reshaped did.

use super::statement::StatementError;
use super::{discovery, engine, mysql, statement};
use expect_test::expect_file;

fn escaped(bytes: &[u8]) -> String {
    bytes.escape_ascii().to_string()
}

fn written(write: impl FnOnce(&mut Vec<u8>)) -> String {
    let mut out = Vec::new();
    write(&mut out);
    escaped(&out) + "\n"
}

#[test]
fn requests_to_engines_and_to_the_discovery_service_have_the_bytes_of_the_former_version() {
    let mut ask = engine::EngineRequest {
        id: "9b1f03aa5c7e2d41",
        class: "report",
        wait: 1.2341,
        idempotency_key: None,
        grant_mb: 0.0,
        lane: 1,
        statement: b"SELECT 1",
    };
    let mut text = written(|out| engine::EncodedRequest::new(&ask).write(out, 1.2341));
    (ask.idempotency_key, ask.grant_mb, ask.lane) = (Some("5c0f"), 95.2, 3);
    text += &written(|out| engine::EncodedRequest::new(&ask).write(out, 0.0));
    text += &written(|out| engine::page(out, "a1", 2));
    text += &written(|out| engine::close(out, "a1"));
    text += &written(|out| engine::lane(out, "a1", 3));
    text += &written(|out| engine::give_up(out, "a1"));
    text += &written(|out| engine::ping(out, "t"));
    text += &written(|out| discovery::watch(out, 41));
    expect_file!["golden/requests.txt"].assert_eq(&text);
}

#[test]
fn answers_to_clients_have_the_bytes_of_the_former_version() {
    let mut text = written(|out| mysql::greeting(out, 513, *b"abcdefghijklmnopqrst"));
    let mut sequence = 1;
    text += &written(|out| mysql::ok(out, &mut sequence));
    text += &written(|out| mysql::eof(out, &mut sequence));
    text += &written(|out| mysql::text(out, &mut sequence, "taken: 3  open: 0"));
    text += &written(|out| mysql::rejected(out, &mut sequence, None));
    text += &written(|out| mysql::rejected(out, &mut sequence, Some(0.2501)));
    text += &written(|out| mysql::failed(out, &mut sequence));
    text += &written(|out| mysql::killed(out, &mut sequence));
    let codes = [
        mysql::DENIED,
        mysql::NOT_COMMAND,
        mysql::NO_SUCH_SESSION,
        mysql::TOO_LONG,
        mysql::OUT_OF_ORDER,
        mysql::NOT_UNDERSTOOD,
        mysql::MALFORMED,
    ];
    for code in codes {
        text += &written(|out| mysql::error(out, &mut sequence, code, "why"));
    }
    let names = ["column_1", "column_2"].map(String::from);
    let long = vec![b'x'; 300];
    let rows = [vec![&b"a"[..], b""], vec![&b"1"[..], &long]];
    let rows = || rows.iter().map(|row| row.iter().copied());
    text += &written(|out| mysql::result(out, &mut sequence, &names, rows()));
    expect_file!["golden/answers.txt"].assert_eq(&text);
}

/// What statements that are refused, taken or asked beside are made of: errors go to the client as they stand.
#[test]
fn errors_about_statements_have_the_words_of_the_former_version() {
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
    for words in statements {
        let said = match statement::read(words.as_bytes()) {
            Ok(_) => "taken".to_string(),
            Err(error) => error.to_string(),
        };
        text += &format!("{words} -> {said}\n");
    }
    let known = ["look".to_string(), "report".to_string()];
    text += &format!("{}\n", StatementError::unknown_class("see".to_string(), &known));
    text += &format!("{}\n", StatementError::IdInUse { id: "9b1f03aa5c7e2d41".to_string() });
    text += &format!("{}\n", StatementError::MissingIdempotencyKey { class: "look".to_string() });
    expect_file!["golden/statements.txt"].assert_eq(&text);
}

#[test]
fn errors_about_discovery_lines_have_the_words_of_the_former_version() {
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
        let said = match discovery::line(line.as_bytes()) {
            Ok(_) => "read".to_string(),
            Err(discovery::Malformed(words)) => words,
        };
        text += &format!("{line} -> {said}\n");
    }
    expect_file!["golden/discovery.txt"].assert_eq(&text);
}
