use super::*;

/// A result of rows whose lengths need each form of the length before a value.
fn result_text() -> Vec<u8> {
    let long = "x".repeat(5_000);
    let middle = "y".repeat(300);
    let rows = ["\t\t\n".to_string(), format!("{long}\t1\t{middle}\n"), "a\tb\tc\n".to_string()];
    rows.concat().repeat(20).into_bytes()
}

#[test]
fn the_pieces_of_a_result_are_those_of_the_whole_whatever_their_length() {
    let text = result_text();
    let names: Vec<String> = (1..=COLUMNS).map(|number| format!("column_{number}")).collect();
    for text in [&text[..], b""] {
        let (mut whole, mut sequence) = (Vec::new(), 250);
        mysql::write_result_set(&mut whole, &mut sequence, &names, rows(text).map(columns));
        for max_len in [1, 500, 6_144, 16_384, 1 << 20] {
            let mut stream = ResultStream::new(text.to_vec().into());
            let (mut written, mut next_sequence) = (Vec::new(), 250);
            loop {
                let mut piece = Vec::new();
                let is_complete = stream.write_next(&mut piece, &mut next_sequence, max_len);
                let longest_packet = mysql::max_row_packet(5_302, COLUMNS);
                assert!(
                    !piece.is_empty() && piece.len() <= max_len.max(longest_packet) + 9,
                    "{}",
                    piece.len()
                );
                written.extend(piece);
                if is_complete {
                    break;
                }
            }
            assert!(written == whole && next_sequence == sequence, "pieces of {max_len} bytes");
        }
    }
}
