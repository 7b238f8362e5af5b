//! Stand-ins of the store, the runners and the clients, and the cases that use them.
//!
//! Usage: `standins CASE RECORD`. The programs under test are started as separate processes with the
//! commands of the deploy file. Exits with 0 if the rule held, 1 if it was broken, 2 if the case could
//! not run.

mod cases;
mod http;
mod programs;
mod proxy;
mod record;
mod runner;
mod store;

use std::{panic::catch_unwind, process::exit};

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: standins CASE RECORD");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    // The processes of a case that fails are ended as the stack unwinds.
    let status = catch_unwind(|| cases::run(case, path, has_trouble));
    exit(status.unwrap_or(2));
}
