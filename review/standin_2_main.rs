//! Runs one case of the second review: `cases N FOLDER TROUBLE`. Exits with 1 if the rule was broken, with 0 if it held and
//! with 2 if the case could not run. With 0 as its last word, which `run.sh` takes from `TROUBLE`, the case runs without its disruption.

#![allow(dead_code)]

#[path = "standin_2_engine.rs"]
mod engine;
#[path = "standin_2_http.rs"]
mod http;
#[path = "standin_2_process.rs"]
mod process;
#[path = "standin_2_site.rs"]
mod site;
#[path = "standin_2_store.rs"]
mod store;

#[path = "10/case.rs"]
mod case_10;
#[path = "6/case.rs"]
mod case_6;
#[path = "7/case.rs"]
mod case_7;
#[path = "8/case.rs"]
mod case_8;
#[path = "9/case.rs"]
mod case_9;

use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use crate::process::Record;

/// Longest time that a case runs.
const LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (number, folder) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    if number == "replica" {
        let port = folder.parse().unwrap_or(0);
        let ended = case_8::run_replica(port, &words.next().unwrap_or_default());
        eprintln!("the replica has ended: {ended:?}");
        return ExitCode::from(2);
    }
    let record = match Record::create(&format!("{folder}/record.txt")) {
        Ok(record) => &*Box::leak(Box::new(record)),
        Err(error) => {
            eprintln!("no record can be written: {error}");
            return ExitCode::from(2);
        },
    };
    let has_trouble = words.next().as_deref() != Some("0");
    thread::spawn(|| {
        thread::sleep(LIMIT);
        eprintln!("the case took too long");
        process::end_all();
        std::process::exit(2);
    });
    record.say(format!(
        "case {number}, {} the disruption",
        if has_trouble { "with" } else { "without" }
    ));
    let outcome = match number.as_str() {
        "6" => case_6::run(record, has_trouble),
        "7" => case_7::run(record, has_trouble),
        "8" => case_8::run(record, has_trouble),
        "9" => case_9::run(record, has_trouble),
        "10" => case_10::run(record, has_trouble),
        _ => Err("there is no such case".to_string()),
    };
    match outcome {
        Ok(true) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        },
        Ok(false) => {
            record.say("the rule was broken");
            ExitCode::from(1)
        },
        Err(reason) => {
            record.say(format!("the case could not run: {reason}"));
            ExitCode::from(2)
        },
    }
}
