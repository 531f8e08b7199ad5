use super::*;

#[test]
fn a_request_has_its_optional_fields_and_the_length_of_its_statement() {
    let mut request = EngineRequest {
        id: "9b1f03aa5c7e2d41",
        class: "report",
        wait: 1.2341,
        idempotency_key: None,
        grant_mb: 0.0,
        lane: 1,
        statement: b"SELECT 1",
    };
    let mut out = Vec::new();
    EncodedRequest::new(&request).write(&mut out, request.wait);
    assert_eq!(out, b"GET 9b1f03aa5c7e2d41 queue=report,budget=1235,rank=1 8\r\nSELECT 1\r\n");
    (request.idempotency_key, request.grant_mb, request.wait) = (Some("5c0f"), 95.2, 0.0);
    out.clear();
    EncodedRequest::new(&request).write(&mut out, request.wait);
    let head_line = b"GET 9b1f03aa5c7e2d41 queue=report,budget=1,uniq=5c0f,grant=96,rank=1 8\r\n";
    assert!(out.starts_with(head_line));
}

#[test]
fn every_other_command_is_one_line() {
    let mut out = Vec::new();
    write_page_request(&mut out, "a1", 2);
    write_close(&mut out, "a1");
    write_lane(&mut out, "a1", 3);
    write_cancel(&mut out, "a1");
    write_ping(&mut out, "t");
    assert_eq!(out, b"PAGE a1 2\r\nCLOSE a1\r\nRANK a1 3\r\nDROP a1\r\nPING t\r\n");
}

#[test]
fn answers_are_parsed_when_split_at_any_byte_and_when_joined() {
    let joined = b"a1 DONE work=1.5,peak=20,parts=2 6\r\nx\ty\tz\n\r\na2 WAIT - 0\r\n\r\n";
    let first = parse_answer(joined).unwrap().unwrap();
    assert_eq!((first.id, first.kind, first.body), ("a1", AnswerKind::Completed, &b"x\ty\tz\n"[..]));
    assert_eq!((first.work, first.peak, first.pages, first.page), (Some(1.5), Some(20.0), Some(2), None));
    for end in 0..first.length {
        assert_eq!(parse_answer(&joined[..end]), Ok(None), "{end} bytes");
    }
    let second = parse_answer(&joined[first.length..]).unwrap().unwrap();
    assert_eq!(parse_answer(b"a1 SHRUG x=1 0\r\n\r\n").unwrap().unwrap().kind, AnswerKind::Unknown);
    assert_eq!(
        (second.id, second.kind, second.length),
        ("a2", AnswerKind::EngineFull, joined.len() - first.length)
    );
}

#[test]
fn invalid_answers_are_malformed() {
    let unterminated = vec![b'x'; MAX_LINE];
    for bytes in [
        &b"a1 DONE -\r\n"[..],
        b"a1 DONE - many\r\n",
        b"a1 DONE - 99999999999\r\n",
        b"a1 DONE - 20000\r\n",
        b"a1 DONE parts=-1 0\r\n\r\n",
        b"a1 DONE - 1\r\nxyz",
        b"\xff\xfe DONE - 0\r\n\r\n",
        &unterminated,
    ] {
        assert!(parse_answer(bytes).is_err(), "{}", String::from_utf8_lossy(bytes));
    }
    assert_eq!(parse_answer(&unterminated[1..]), Ok(None));
}

#[test]
fn pages_are_joined_in_order_of_their_numbers_whatever_order_they_arrive_in() {
    let mut pages = Pages::new(3, b"1\t1\t1\n").unwrap();
    assert_eq!(pages.after_first(), 1..3);
    pages.add(2, b"3\t3\t3\n").unwrap();
    assert_eq!(pages.take_complete(), None);
    pages.add(1, b"2\t2\t2\n").unwrap();
    let all_rows = pages.take_complete().unwrap();
    assert_eq!(all_rows, b"1\t1\t1\n2\t2\t2\n3\t3\t3\n");
    let values: Vec<Vec<&[u8]>> = rows(&all_rows).map(|row| columns(row).collect()).collect();
    assert_eq!(values[2], [b"3", b"3", b"3"]);
    assert_eq!(Pages::new(1, b"").unwrap().take_complete(), Some(Vec::new()));
}

#[test]
fn pages_that_can_not_belong_to_a_result_are_malformed() {
    assert!(Pages::new(0, b"").is_err() && Pages::new(MAX_PAGES + 1, b"").is_err());
    assert!(Pages::new(1, b"a\tb\n").is_err(), "two columns");
    assert!(Pages::new(1, b"a\tb\tc").is_err(), "an incomplete row");
    assert!(Pages::new(1, b"a\tb\tc\n\n").is_err(), "an empty row");
    let mut pages = Pages::new(2, b"").unwrap();
    assert!(
        pages.add(0, b"a\tb\tc\n").is_ok() && pages.take_complete().is_none(),
        "a duplicate page adds nothing"
    );
    assert!(pages.add(2, b"").is_err(), "a page beyond the last");
    let long = [vec![b'x'; MAX_RESULT], b"\t\t\n".to_vec()].concat();
    assert!(pages.add(1, &long).is_err(), "a result that is too long");
}
