//! The page of a journal.

use std::{fs, path::PathBuf};

use bulrushlatch_lab::journal::{
    entries::{self, JournalError},
    losses::losses,
    page,
};

const SCORE: &str = r#"{"id": "one", "at": ["2026-12-03T22:00:00Z"], "cmd": "score", "why": "a < b",
    "site": "north", "score": 0.9, "days": [{"name": "scale-1", "G": 0.7, "top": 0.8, "score": 0.88,
    "served": 0.9, "refused": 0.05, "failed": 0.01, "gate": true,
    "parts": [["whole day", 0.4, 0.9], ["worst windows", 0.1, 0.2]],
    "prices": [["machine-seconds", 900.0, 0.012], ["probes", 3.0, 0.0]]}]}"#;
const RUN: &str = r#"{"id": "two", "at": ["2026-12-03T21:00:00Z"], "cmd": "run", "days": []}"#;

fn directory(name: &str, files: &[(&str, &str)]) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::create_dir_all(&path).expect("a directory");
    for (file, text) in files {
        fs::write(path.join(file), text).expect("a file");
    }
    path
}

#[test]
fn entries_come_in_the_order_of_time() {
    let path = directory("ordered", &[("a.json", SCORE), ("b.json", RUN), ("note.txt", "x")]);
    let entries = entries::read(&path).expect("it can be read");
    let ids: Vec<&str> = entries.iter().map(|entry| entry.id.as_str()).collect();
    assert_eq!(ids, ["two", "one"]);
}

#[test]
fn a_file_that_is_no_entry_is_named() {
    let path = directory("broken", &[("c.json", "{")]);
    let error = entries::read(&path).expect_err("it cannot be read");
    assert_eq!(*error.current_context(), JournalError::Format);
    assert!(format!("{error:?}").contains("c.json"), "{error:?}");
}

#[test]
fn losses_of_a_day_come_largest_first() {
    let path = directory("losses", &[("a.json", SCORE)]);
    let entries = entries::read(&path).expect("it can be read");
    let losses = losses(&entries[0].days[0]);
    let causes: Vec<&str> = losses.iter().map(|loss| loss.cause.as_str()).collect();
    assert_eq!(causes, ["worst windows (0.20)", "whole day (0.90)", "price: machine-seconds"]);
    assert!((losses[0].amount - 0.08).abs() < 1e-9, "{losses:?}");
}

#[test]
fn the_page_has_a_chart_and_a_table_for_each_deployment() {
    let path = directory("page", &[("a.json", SCORE), ("b.json", RUN)]);
    let page = page::render(&entries::read(&path).expect("it can be read")).expect("it is drawn");
    assert!(page.contains("<svg"), "{page}");
    assert!(page.contains("<h1>north</h1>"), "{page}");
    assert!(page.contains("a &lt; b"), "{page}");
    assert!(page.contains("<td>scale-1<td>0.700<td>0.800"), "{page}");
}
