//! Reading a journal and rendering its page.

use std::{fs, path::PathBuf};

use bulrushlatch_lab::journal::{
    entries::{self, JournalError},
    losses::losses,
    page,
};

const SCORE_ENTRY: &str = r#"{"id": "one", "at": ["2026-12-03T22:00:00Z"], "cmd": "score", "why": "a < b",
    "site": "north", "score": 0.9, "days": [{"name": "scale-1", "G": 0.7, "top": 0.8, "score": 0.88,
    "served": 0.9, "refused": 0.05, "failed": 0.01, "gate": true,
    "parts": [["whole day", 0.4, 0.9], ["worst windows", 0.1, 0.2]],
    "prices": [["machine-seconds", 900.0, 0.012], ["probes", 3.0, 0.0]]}]}"#;
const RUN_ENTRY: &str =
    r#"{"id": "two", "at": ["2026-12-03T21:00:00Z"], "cmd": "run", "days": []}"#;

/// Creates a journal directory with the given files.
fn write_journal(name: &str, files: &[(&str, &str)]) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::create_dir_all(&path).expect("the directory can be created");
    for (file, text) in files {
        fs::write(path.join(file), text).expect("the file can be written");
    }
    path
}

#[test]
fn entries_are_sorted_by_start_time() {
    let path = write_journal(
        "ordered",
        &[("a.json", SCORE_ENTRY), ("b.json", RUN_ENTRY), ("note.txt", "x")],
    );
    let entries = entries::read(&path).expect("the journal can be read");
    let ids: Vec<&str> = entries.iter().map(|entry| entry.id.as_str()).collect();
    assert_eq!(ids, ["two", "one"]);
}

#[test]
fn read_error_names_the_invalid_file() {
    let path = write_journal("broken", &[("c.json", "{")]);
    let error = entries::read(&path).expect_err("c.json is not an entry");
    assert_eq!(*error.current_context(), JournalError::Format);
    assert!(format!("{error:?}").contains("c.json"), "{error:?}");
}

#[test]
fn losses_of_a_day_are_sorted_largest_first() {
    let path = write_journal("losses", &[("a.json", SCORE_ENTRY)]);
    let entries = entries::read(&path).expect("the journal can be read");
    let losses = losses(&entries[0].days[0]);
    let causes: Vec<&str> = losses.iter().map(|loss| loss.cause.as_str()).collect();
    assert_eq!(causes, ["worst windows (0.20)", "whole day (0.90)", "price: machine-seconds"]);
    assert!((losses[0].amount - 0.08).abs() < 1e-9, "{losses:?}");
}

#[test]
fn page_has_a_chart_and_a_table_for_a_site() {
    let path = write_journal("page", &[("a.json", SCORE_ENTRY), ("b.json", RUN_ENTRY)]);
    let page = page::render(&entries::read(&path).expect("the journal can be read"))
        .expect("the chart can be drawn");
    assert!(page.contains("<svg"), "{page}");
    assert!(page.contains("<h1>north</h1>"), "{page}");
    assert!(page.contains("a &lt; b"), "{page}");
    assert!(page.contains("<td>scale-1<td>0.700<td>0.800"), "{page}");
}
