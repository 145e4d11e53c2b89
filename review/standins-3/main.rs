//! Runs the cases of the third review: starts the programs of the deploy file, and stand-ins for the platform's
//! store, engines and clients, on loopback addresses. Uses the standard library only.
//!
//! `cases NAME FOLDER`, in the repository's root. `TROUBLE=0` leaves the disruption out.

mod bench;
mod cases;
mod engine;
mod http;
mod json;
mod process;
mod store;

use std::path::PathBuf;
use std::process::exit;
use std::thread;
use std::time::Duration;

/// Longest run of a case; the processes that it has started end with it.
const LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(name), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: cases NAME FOLDER");
        exit(2);
    };
    thread::spawn(|| {
        thread::sleep(LIMIT);
        eprintln!("the case took too long");
        exit(2);
    });
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match cases::run(name, PathBuf::from(folder), has_trouble) {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(e) => {
            eprintln!("the case could not run: {e}");
            2
        }
    };
    exit(code);
}
