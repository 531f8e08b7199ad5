use super::*;

#[test]
fn a_request_names_what_it_may_and_counts_its_statement() {
    let mut ask = EngineRequest {
        id: "9b1f03aa5c7e2d41",
        class: "report",
        wait: 1.2341,
        idempotency_key: None,
        grant_mb: 0.0,
        lane: 1,
        statement: b"SELECT 1",
    };
    let mut out = Vec::new();
    EncodedRequest::new(&ask).write(&mut out, ask.wait);
    assert_eq!(out, b"GET 9b1f03aa5c7e2d41 queue=report,budget=1235,rank=1 8\r\nSELECT 1\r\n");
    (ask.idempotency_key, ask.grant_mb, ask.wait) = (Some("5c0f"), 95.2, 0.0);
    out.clear();
    EncodedRequest::new(&ask).write(&mut out, ask.wait);
    let fields = b"GET 9b1f03aa5c7e2d41 queue=report,budget=1,uniq=5c0f,grant=96,rank=1 8\r\n";
    assert!(out.starts_with(fields));
}

#[test]
fn the_other_commands_are_a_line_each() {
    let mut out = Vec::new();
    page(&mut out, "a1", 2);
    close(&mut out, "a1");
    lane(&mut out, "a1", 3);
    give_up(&mut out, "a1");
    ping(&mut out, "t");
    assert_eq!(out, b"PAGE a1 2\r\nCLOSE a1\r\nRANK a1 3\r\nDROP a1\r\nPING t\r\n");
}

#[test]
fn answers_are_read_wherever_they_are_split_and_however_they_are_joined() {
    let joined = b"a1 DONE work=1.5,peak=20,parts=2 6\r\nx\ty\tz\n\r\na2 WAIT - 0\r\n\r\n";
    let first = answer(joined).unwrap().unwrap();
    assert_eq!((first.id, first.kind, first.body), ("a1", AnswerKind::Done, &b"x\ty\tz\n"[..]));
    assert_eq!((first.work, first.peak, first.pages, first.page), (Some(1.5), Some(20.0), Some(2), None));
    for end in 0..first.taken {
        assert_eq!(answer(&joined[..end]), Ok(None), "{end} bytes");
    }
    let second = answer(&joined[first.taken..]).unwrap().unwrap();
    assert_eq!(answer(b"a1 SHRUG x=1 0\r\n\r\n").unwrap().unwrap().kind, AnswerKind::Other);
    assert_eq!((second.id, second.kind, second.taken), ("a2", AnswerKind::Wait, joined.len() - first.taken));
}

#[test]
fn answers_that_no_engine_sends_are_malformed() {
    let endless = vec![b'x'; LONGEST_LINE];
    for bytes in [
        &b"a1 DONE -\r\n"[..],
        b"a1 DONE - many\r\n",
        b"a1 DONE - 99999999999\r\n",
        b"a1 DONE - 20000\r\n",
        b"a1 DONE parts=-1 0\r\n\r\n",
        b"a1 DONE - 1\r\nxyz",
        b"\xff\xfe DONE - 0\r\n\r\n",
        &endless,
    ] {
        assert!(answer(bytes).is_err(), "{}", String::from_utf8_lossy(bytes));
    }
    assert_eq!(answer(&endless[1..]), Ok(None));
}

#[test]
fn pages_are_joined_in_order_whenever_they_come() {
    let mut pages = Pages::new(3, b"1\t1\t1\n").unwrap();
    assert_eq!(pages.others(), 1..3);
    pages.add(2, b"3\t3\t3\n").unwrap();
    assert_eq!(pages.take_complete(), None);
    pages.add(1, b"2\t2\t2\n").unwrap();
    let whole = pages.take_complete().unwrap();
    assert_eq!(whole, b"1\t1\t1\n2\t2\t2\n3\t3\t3\n");
    let read: Vec<Vec<&[u8]>> = rows(&whole).map(|row| columns(row).collect()).collect();
    assert_eq!(read[2], [b"3", b"3", b"3"]);
    assert_eq!(Pages::new(1, b"").unwrap().take_complete(), Some(Vec::new()));
}

#[test]
fn pages_that_do_not_fit_a_result_are_malformed() {
    assert!(Pages::new(0, b"").is_err() && Pages::new(MOST_PAGES + 1, b"").is_err());
    assert!(Pages::new(1, b"a\tb\n").is_err(), "two columns");
    assert!(Pages::new(1, b"a\tb\tc").is_err(), "half a row");
    assert!(Pages::new(1, b"a\tb\tc\n\n").is_err(), "an empty row");
    let mut pages = Pages::new(2, b"").unwrap();
    assert!(
        pages.add(0, b"a\tb\tc\n").is_ok() && pages.take_complete().is_none(),
        "a page twice adds nothing"
    );
    assert!(pages.add(2, b"").is_err(), "a page beyond the last");
    let long = [vec![b'x'; LONGEST_RESULT], b"\t\t\n".to_vec()].concat();
    assert!(pages.add(1, &long).is_err(), "too long");
}
