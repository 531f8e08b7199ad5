use super::*;

/// Mutates samples of each protocol: changes, cuts, inserts and repeats bytes at random places.
#[test]
fn parsers_do_not_panic_on_mutated_input() {
    let samples: [&[u8]; 6] = [
        b"\x20\0\0\x01\0\x82\0\0\0\0\0\x01\x2d\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0app\0\x01\0",
        b"/* op=r,call=9b1f03aa5c7e2d41,ttl=1.5,work=2 */ SELECT 'a\\'' /*x*/ FROM `s_1`.t, (b.c) -- x\n#y",
        b"SELECT @@session.a AS b, VERSION(), 1, 'x' LIMIT 1; KILL QUERY 7",
        b"a1 DONE work=1.5,peak=20,parts=2 6\r\nx\ty\tz\n\r\na1 MORE part_no=1 0\r\n\r\n",
        br#"{"rev":4,"pool":{"all":true,"targets":[{"uid":"s","endpoint":"1.2.3.4:5","state":"ready"}]}}"#,
        b"\x0c\x01\0\0\0",
    ];
    let mut state = 7u64;
    let mut random_below = |below: usize| {
        state = state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (state >> 33) as usize % below
    };
    for round in 0..30_000 {
        let mut bytes = samples[round % samples.len()].to_vec();
        for _ in 0..=random_below(4) {
            let position = random_below(bytes.len());
            match random_below(4) {
                0 => bytes[position] = random_below(256) as u8,
                1 => bytes.truncate(position + 1),
                2 => bytes.insert(position, b"'\"`\\*/(),. \r\n\0"[random_below(14)]),
                _ => bytes.extend_from_within(position..),
            }
        }
        let body =
            mysql::parse_packet(&bytes, 1 << 16).ok().flatten().map_or(&bytes[..], |packet| packet.body);
        let _ = (
            mysql::parse_login(body),
            mysql::parse_command(body),
            statement::parse(&bytes),
            discovery::parse_line(&bytes),
        );
        let mut rest = &bytes[..];
        while let Ok(Some(answer)) = engine::parse_answer(rest) {
            if let Ok(mut pages) = engine::Pages::new(answer.pages.unwrap_or(1), answer.body) {
                let _ = (pages.add(answer.page.unwrap_or(1), answer.body), pages.take_complete());
            }
            rest = &rest[answer.length..];
        }
    }
}
