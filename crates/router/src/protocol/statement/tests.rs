use super::*;

const FIELDS: &str = "op=report,call=9b1f03aa5c7e2d41,ttl=1500";

fn request(text: &str) -> ParsedStatement {
    match parse(text.as_bytes()) {
        Ok(Statement::Query(request)) => request,
        other => panic!("{other:?}"),
    }
}

#[test]
fn the_fields_comment_is_removed_and_the_rest_is_kept_byte_for_byte() {
    let sql = "SELECT 'é\\'', \"/* op=x */\"  FROM sales_17.orders -- end";
    let request = request(&format!("/* {FIELDS},org=acme,rep=1,dedupe=5c0f,work=820.0,mb=96 */ {sql}"));
    assert_eq!(request.text, sql.as_bytes());
    assert_eq!((request.id.as_str(), request.class.as_str()), ("9b1f03aa5c7e2d41", "report"));
    assert_eq!((request.time_to_live, request.idempotency_key.as_deref()), (1.5, Some("5c0f")));
    assert_eq!((request.work, request.memory_mb, request.table_group), (Some(0.82), Some(96.0), Some(17)));
}

#[test]
fn estimates_may_be_absent_but_an_invalid_field_is_an_error() {
    for absent in ["", ",rep=1", ",,=,work", ",work=0,mb=0", ",later=x"] {
        let request = request(&format!("/*{FIELDS}{absent}*/SELECT 1 FROM a_1.b"));
        assert_eq!(
            (request.work, request.memory_mb, request.idempotency_key),
            (None, None, None),
            "{absent}"
        );
    }
    for invalid in [
        "work=",
        "work=much",
        "work=NaN",
        "work=-1",
        "work=1e19",
        "mb=-3",
        "mb=inf",
        "mb=1e12",
        "mb=0x10",
        "dedupe=a b",
        "dedupe=",
        "org=",
        "org=a b",
        "op=report",
        "ttl=1500",
        "call=9b1f03aa5c7e2d41",
        "mb=1,mb=1",
        "org=a,org=b",
    ] {
        let (name, _) = invalid.split_once('=').unwrap();
        let message =
            parse(format!("/*{FIELDS},{invalid}*/SELECT 1 FROM a_1.b").as_bytes()).unwrap_err().to_string();
        assert!(message.starts_with(&format!("field {name}: expected")), "{invalid}: {message}");
    }
}

#[test]
fn the_error_of_an_invalid_request_names_the_cause() {
    for (text, message) in [
        ("/* op=report,ttl=1500 */ SELECT 1", "field call: expected 16 hex digits, got \"\""),
        ("/* call=9b1f03aa5c7e2d41,ttl=1500 */ SELECT 1", "field op: expected a category, got \"\""),
        (
            "/* op=r,call=9b1f03aa5c7e2d41,ttl=soon */ SELECT 1",
            "field ttl: expected milliseconds, got \"soon\"",
        ),
        ("/* op=r,call=xyz,ttl=1 */ SELECT 1", "field call: expected 16 hex digits, got \"xyz\""),
        ("/* op=r,call=9b1f03aa5c7e2d41,ttl=9 */", "the statement is empty"),
    ] {
        assert_eq!(parse(text.as_bytes()).unwrap_err().to_string(), message);
    }
    assert!(parse(b"SELECT day FROM sales_17.orders").unwrap_err().to_string().contains("no fields comment"));
    assert!(parse(b"/* op=report").is_err() && parse(b"").is_err() && parse(b"\xff\xfe").is_err());
}

#[test]
fn the_table_group_is_that_of_the_schema_the_statement_reads_or_writes() {
    for (text, group) in [
        ("SELECT day, count(*), max(note) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day", Some(17)),
        ("select * from `sales_17`.`orders`", Some(17)),
        ("SELECT 1 FROM Sales_9 . orders", Some(9)),
        ("SELECT 'FROM a_1.b', \"x_2.y\" FROM c_3.d", Some(3)),
        ("SELECT 'it''s \\' FROM a_1.b' FROM c_3.d", Some(3)),
        ("SELECT 1 /* FROM a_1.b */ -- a_2.b\n # a_4.b\n FROM c_3.d", Some(3)),
        ("SELECT 1--1 FROM c_3.d", Some(3)),
        ("INSERT INTO sales_5.t SELECT * FROM staging.u", Some(5)),
        ("INSERT INTO staging.t SELECT * FROM sales_6.u", Some(6)),
        ("INSERT sales_5.t VALUES (1)", Some(5)),
        ("REPLACE INTO `sales_5`.t VALUES ('staging.x')", Some(5)),
        ("UPDATE LOW_PRIORITY sales_7.t SET a = 1", Some(7)),
        ("DELETE FROM sales_8.t WHERE x_1.y = 2", Some(8)),
        ("SELECT t_5.day FROM sales_17.orders AS t_5", Some(17)),
        ("SELECT t_5.day FROM staging.a t_5 JOIN sales_17.b ON t_5.x = b.y", Some(17)),
        ("SELECT EXTRACT(DAY FROM t_5.d) FROM sales_17.orders t_5", Some(17)),
        ("SELECT * FROM (SELECT * FROM sales_4.o) x_9 WHERE x_9.a = 1", Some(4)),
        ("SELECT * FROM staging.a, sales_2.b", Some(2)),
        ("SELECT * FROM (staging.a JOIN sales_2.b)", Some(2)),
        ("LOAD DATA INFILE 'x_1.y' INTO TABLE sales_3.t", Some(3)),
        ("SELECT /*!40001 SQL_NO_CACHE */ * FROM sales_3.t", Some(3)),
        ("SELECT 1.5, a_1 FROM orders_17", None),
        ("SELECT * FROM sales_x.t, sales_.t, _.t, sales.t_4", None),
        ("SELECT * FROM sales_99999999999999999999999.t", None),
        ("SELECT 'unclosed FROM a_1.b", None),
        ("", None),
    ] {
        assert_eq!(table_group(text.as_bytes()), group, "{text}");
    }
}

#[test]
fn statements_that_would_set_session_state_are_no_ops_and_queries_without_fields_are_refused() {
    for text in ["SET NAMES utf8mb4", "set autocommit=0", "USE reports", "COMMIT", "/* x */ ROLLBACK"] {
        assert_eq!(parse(text.as_bytes()), Ok(Statement::NoOp), "{text}");
    }
    for text in ["SELECT 1", "SHOW VARIABLES", "/* x */ SELECT @@version_comment", "SELECT 1 FROM sales_1.t"]
    {
        assert!(parse(text.as_bytes()).unwrap_err().to_string().contains("no fields comment"), "{text}");
    }
}

#[test]
fn a_kill_has_a_session_id_and_whether_only_the_query_is_killed() {
    let kill = |session, query_only| Ok(Statement::Kill { session, query_only });
    assert_eq!(parse(b"KILL QUERY 12"), kill(12, true));
    assert_eq!(parse(b"kill connection 12;"), kill(12, false));
    assert_eq!(parse(b"KILL 12"), kill(12, false));
    assert!(parse(b"KILL QUERY").is_err() && parse(b"KILL -4").is_err());
}
