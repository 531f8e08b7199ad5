use super::*;

#[test]
fn a_small_fleet_is_never_dark_with_the_guard_and_is_without() {
    let dark = |variant| {
        let course = play(20, 5, Trouble::Shared, variant);
        course.report["dark_s"].as_f64().unwrap()
    };
    assert_eq!(dark(Variant::Whole), 0.0);
    assert!(dark(Variant::NoGuard) > 100.0);
}
