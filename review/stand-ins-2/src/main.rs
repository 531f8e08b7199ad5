//! The cases of the second independent review: `review-2 CASE FOLDER` plays a case and writes FOLDER/record.txt. It exits
//! with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod board;
mod case_6;
mod case_7;
mod case_8;
mod case_9;
mod client;
mod cluster;
mod engine;
mod jobs;
mod record;
mod relays;
mod router;
mod setting;

use std::path::PathBuf;

pub struct Setup {
    /// A temporary folder, which the script removes at the end.
    pub folder: PathBuf,
    /// False with TROUBLE=0: all but the disruption.
    pub trouble: bool,
}

pub enum Outcome {
    Held,
    Broken(String),
    CouldNotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, target] = &arguments[..] else {
        eprintln!("usage: review-2 CASE FOLDER");
        std::process::exit(2);
    };
    let Ok(folder) = std::env::var("REVIEW_TEMP").map(PathBuf::from) else {
        eprintln!("REVIEW_TEMP: expected a folder; review/N/run.sh makes one");
        std::process::exit(2);
    };
    let record = match record::Record::create(&PathBuf::from(target).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt: {error}");
            std::process::exit(2);
        }
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let setup = Setup { folder, trouble };
    let outcome = match case.as_str() {
        "6" => case_6::play(&setup, &record),
        "7" => case_7::play(&setup, &record),
        "8" => case_8::play(&setup, &record),
        "9" => case_9::play(&setup, &record),
        _ => Outcome::CouldNotRun(format!("no case {case}")),
    };
    let (code, text) = match outcome {
        Outcome::Held => (0, "held".to_string()),
        Outcome::Broken(how) => (1, format!("broken: {how}")),
        Outcome::CouldNotRun(why) => (2, format!("could not run: {why}")),
    };
    record.note(&text);
    println!("case {case}, trouble {trouble}: {text}");
    std::process::exit(code);
}
