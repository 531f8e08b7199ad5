//! NOTIFICATIONs, written, read and shown.

use super::*;
use crate::message::frame;

#[test]
fn a_cease_carries_its_words_plain_and_within_a_hard_reset() {
    for hard in [false, true] {
        let told = Notification::cease(SHUTDOWN, &"ä".repeat(200), hard);
        let mut bytes = Vec::new();
        told.put(&mut bytes);
        let read = Notification::read(frame(&bytes).unwrap().unwrap().body);
        assert_eq!(read, told);
        // 255 bytes do not end within a letter.
        assert_eq!(read.words().unwrap().chars().count(), 127);
    }
}

#[test]
fn words_that_would_forge_a_log_line_or_lie_about_their_length_do_no_harm() {
    let forged = Notification::cease(SHUTDOWN, "bye\nWARN all is lost", false);
    assert_eq!(forged.words().unwrap(), "bye?WARN all is lost");
    let lying = Notification { code: CEASE, subcode: SHUTDOWN, data: vec![200, b'x'], hard: false };
    assert_eq!(lying.words(), None);
    assert_eq!(Notification::read(&[CEASE, HARD_RESET]).subcode, HARD_RESET);
}
