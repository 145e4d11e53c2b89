//! Cases of the second review: `review-case-2 CASE FOLDER` writes `record.txt` into the folder and exits
//! with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod engine;
mod http;
mod json;
mod record;
mod site;
mod store;

use std::path::Path;
use std::process::exit;

use crate::record::Record;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: review-case-2 CASE FOLDER");
        exit(2);
    };
    let Ok(record) = Record::create(&Path::new(folder).join("record.txt")) else {
        eprintln!("cannot write {folder}/record.txt");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(&format!("case {case}, disruption {trouble}"));
    let verdict = match case.as_str() {
        "fences" => cases::fences::run(&record, trouble),
        "quota" => cases::quota::run(&record, trouble),
        "drill" => cases::drill::run(&record, trouble),
        "keys" => cases::keys::run(&record, trouble),
        "turned-away" => cases::turned_away::run(&record, trouble),
        "versions" => cases::versions::run(&record, trouble),
        _ => Ok(Verdict::CouldNotRun(format!("no case {case}"))),
    };
    let verdict = verdict.unwrap_or_else(|e| Verdict::CouldNotRun(e.to_string()));
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken => (1, "the rule was broken".to_owned()),
        Verdict::CouldNotRun(why) => (2, format!("the case could not run: {why}")),
    };
    record.line(&text);
    println!("{case}: {text}");
    exit(code);
}
