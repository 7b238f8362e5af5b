//! Tests of the limits on log lines.

use std::{
    cell::Cell,
    fmt::{Formatter, Result},
};

use bulrushlatch_runtime::logging::{LogFormat, LogOutput, init_logging};

/// Number of lines that the test logs at once, well above what two windows of the limit accept.
const LINES: u32 = 2_000;
/// Lines that two windows accept: the test may begin at the end of one.
const MAX_FORMATTED_LINES: u32 = 800;

thread_local! {
    static FORMATTED_LINES: Cell<u32> = const { Cell::new(0) };
}

/// A value that counts how often it is formatted.
struct CountsFormatting;

impl std::fmt::Display for CountsFormatting {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        FORMATTED_LINES.set(FORMATTED_LINES.get() + 1);
        f.write_str("value")
    }
}

/// Guards against a busy entry spending CPU time on lines that are then dropped.
#[test]
fn lines_beyond_the_rate_limit_are_not_formatted() {
    let _guard = init_logging(LogFormat::Json, "info", LogOutput::Stderr);
    tracing::debug!(value = %CountsFormatting, "below the level");
    assert_eq!(FORMATTED_LINES.get(), 0);
    for _ in 0..LINES {
        tracing::info!(value = %CountsFormatting, "line");
    }
    let formatted = FORMATTED_LINES.get();
    assert!((1..=MAX_FORMATTED_LINES).contains(&formatted), "{formatted} lines were formatted");
}
