//! The frame of the scale tests: fits, headroom, and what a machine lacks.

use super::*;

const SIZES: [f64; 5] = [10.0, 40.0, 90.0, 300.0, 1000.0];

fn points(of: impl Fn(f64) -> f64) -> Vec<(f64, f64)> {
    SIZES.iter().map(|&size| (size, of(size))).collect()
}

fn near(one: f64, other: f64) -> bool {
    (one - other).abs() <= 1e-6 * other.abs()
}

fn row(at_target: Result<Vec<f64>, String>, budget: Option<f64>) -> Row {
    let measured = SIZES.iter().map(|&size| (size, vec![2.0 * size, 2.0 * size + 9.0, 1.0])).collect();
    Row { name: "sums, by numbers".to_string(), unit: "us", measured, target: 2000.0, at_target, budget }
}

#[test]
fn exact_data_give_back_the_form_the_slope_and_the_intercept() {
    for form in Form::ALL {
        let fit = Fit::of(&points(|size| 3.0 + 0.25 * form.of(size))).unwrap();
        assert_eq!(fit.form, form);
        assert!(near(fit.slope, 0.25) && near(fit.intercept, 3.0), "{fit:?}");
        assert!(fit.misses_by < 1e-9, "{fit:?}");
        assert!(near(fit.at(5000.0), 3.0 + 0.25 * form.of(5000.0)));
    }
}

#[test]
fn a_fit_says_the_largest_share_that_it_misses_by() {
    // Alternately a tenth over and under a straight line.
    let noise = |size: f64| if [40.0, 300.0].contains(&size) { 0.9 } else { 1.1 };
    let measured = points(|size| noise(size) * (100.0 + 5.0 * size));
    let fit = Fit::of(&measured).unwrap();
    assert_eq!(fit.form, Form::Linear);
    let misses = measured.iter().map(|&(size, need)| ((fit.at(size) - need) / need).abs());
    assert_eq!(fit.misses_by, misses.fold(0.0, f64::max));
    // No straight line comes closer to all of them than a tenth of what is over by a tenth.
    assert!((0.1 / 1.1..0.13).contains(&fit.misses_by), "{fit:?}");
}

#[test]
fn one_size_or_the_same_twice_gives_no_fit() {
    assert_eq!(Fit::of(&[]), None);
    assert_eq!(Fit::of(&[(10.0, 1.0)]), None);
    assert_eq!(Fit::of(&[(10.0, 1.0), (10.0, 2.0)]), None);
}

#[test]
fn a_range_is_the_least_the_median_and_the_most() {
    assert_eq!(Range::of(&[]), None);
    assert_eq!(Range::of(&[3.0, 1.0, 2.0]), Some(Range { least: 1.0, median: 2.0, most: 3.0 }));
}

#[test]
fn headroom_is_budget_over_what_was_measured_or_else_foretold() {
    let measured = row(Ok(vec![10.0, 40.0, 20.0]), Some(100.0));
    assert_eq!(measured.headroom(), Some(5.0));
    // The medians lie on 2 * size, which foretells 4000 at 2000.
    let foretold = row(Err("too large".to_string()), Some(1000.0));
    assert!(near(foretold.headroom().unwrap(), 0.25), "{:?}", foretold.headroom());
    assert_eq!(foretold.json()["not_measured_at_target"], "too large");
    assert!(foretold.json()["measured_at_target"].is_null());
    assert_eq!(row(Ok(vec![10.0]), None).headroom(), None);
}

#[test]
fn a_report_leads_with_its_first_row_and_holds_the_others() {
    let ask = Ask { seed: 7, sizes: None, plays: 3, program: PathBuf::new() };
    let rows = [row(Ok(vec![20.0]), Some(100.0)), row(Ok(vec![20.0]), None)];
    let report = report("sums", &ask, &rows, json!({"others": 2}));
    assert_eq!((&report["what"], &report["seed"], &report["plays"]), (&json!("sums"), &json!(7), &json!(3)));
    assert_eq!((&report["form"], &report["headroom"]), (&json!("Linear"), &json!(5.0)));
    assert_eq!(report["measured"][0], json!([1.0, 20.0, 29.0]));
    assert_eq!(report["rows"].as_array().map(Vec::len), Some(1));
    assert_eq!(report["more"]["others"], 2);
}

#[test]
fn a_need_out_of_reach_says_what_is_lacking_and_how_much() {
    assert_eq!(Need::default().borne(), Ok(()));
    let need = Need { processes: MOST_PROCESSES + 3, ..Need::default() };
    assert_eq!(need.borne().unwrap_err(), "3 processes are lacking: 203 needed, 200 there");
    let need = Need { descriptors: u64::MAX - 1, memory_mb: MOST_MB + 1, ..Need::default() };
    let why = need.borne().unwrap_err();
    assert!(why.contains("descriptors are lacking") && why.contains("MB of memory are lacking"), "{why}");
    assert!(why.contains("11265 needed") && !why.contains("processes"), "{why}");
}
