//! Tests of the NOTIFICATION codec and of its display text.

use super::*;
use crate::message::frame;

#[test]
fn a_cease_round_trips_its_shutdown_communication_also_in_a_hard_reset() {
    for hard in [false, true] {
        let cease = Notification::cease(CeaseSubcode::AdministrativeShutdown, &"ä".repeat(200), hard);
        let mut bytes = Vec::new();
        cease.encode(&mut bytes);
        let decoded = Notification::decode(frame(&bytes).unwrap().unwrap().body);
        assert_eq!(decoded, cease);
        // 255 octets hold 127 characters of two octets; the text is not cut within a character.
        assert_eq!(decoded.shutdown_communication().unwrap().chars().count(), 127);
    }
}

#[test]
fn a_shutdown_communication_replaces_control_characters_and_checks_its_length() {
    let forged = Notification::cease(CeaseSubcode::AdministrativeShutdown, "bye\nWARN all is lost", false);
    assert_eq!(forged.shutdown_communication().unwrap(), "bye?WARN all is lost");
    let wrong_length = Notification {
        code: CEASE,
        subcode: CeaseSubcode::AdministrativeShutdown as u8,
        data: vec![200, b'x'],
        hard_reset: false,
    };
    assert_eq!(wrong_length.shutdown_communication(), None);
    // A hard reset without encapsulated codes keeps its own.
    assert_eq!(Notification::decode(&[CEASE, HARD_RESET]).subcode, HARD_RESET);
}
