#[test]
fn a_router_s_word_on_another_is_read_from_its_log() {
    let line = "12.3 [INFO  cleatgw::transport::cluster] router r3 is seen by others, was present router=r3";
    assert_eq!(super::read_line(line), Some((3, "seen by others")));
    assert_eq!(super::read_line("engine 3 is e3"), None);
}

#[test]
fn a_claim_is_read_from_its_row() {
    let row = "duty nightly,ours,epoch 77 at 1700000000.250000 for 1.500 s";
    assert_eq!(super::read_claim(row), Some((77, 1700000000.25, 1700000001.75)));
    assert_eq!(super::read_claim("duty nightly,held by r3,by this router's own grant"), None);
}
