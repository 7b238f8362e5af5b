//! From the log lines of all processes to what became of one request.

use std::{fmt::Write, io::BufRead};

use serde_json::{Map, Value};

/// Fields that are not repeated behind a line's message.
const SHOWN_BEFORE: [&str; 3] = ["timestamp", "level", "message"];

/// A log line that names the request.
#[derive(Clone, Debug, PartialEq)]
struct Line {
    /// What stands before the line's object, such as the name of a VM.
    source: String,
    fields: Map<String, Value>,
}

impl Line {
    /// Returns a line that is about a job or one of its tasks; none for others.
    fn parse(text: &str, id: &str) -> Option<Self> {
        let (source, object) = text.split_at(text.find('{')?);
        let fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let line = Self { source: source.trim().to_owned(), fields };
        let is_task = line.text("task").split('/').next() == Some(id);
        (line.text("job") == id || is_task).then_some(line)
    }

    fn text(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or("")
    }

    fn number(&self, field: &str) -> i64 {
        self.fields.get(field).and_then(Value::as_i64).unwrap_or(0)
    }

    fn shown(&self) -> String {
        let mut text =
            format!("{} {} {}", self.text("timestamp"), self.source, self.text("message"));
        for (name, value) in &self.fields {
            if !SHOWN_BEFORE.contains(&name.as_str()) {
                let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
                // Writing to a string cannot fail.
                let _ = write!(text, " {name}={value}");
            }
        }
        text
    }
}

/// Returns the lines about a request in the order of time, and what they show.
///
/// # Errors
///
/// Returns an error when the input cannot be read or no line names the request.
pub fn request_story(id: &str, input: impl BufRead) -> Result<String, String> {
    let mut lines = Vec::new();
    for text in input.lines() {
        let text = text.map_err(|error| format!("log lines cannot be read: {error}"))?;
        lines.extend(Line::parse(&text, id));
    }
    if lines.is_empty() {
        return Err(format!("no line names the request {id:?}; lines may have been left out"));
    }
    lines.sort_by(|one, other| one.text("timestamp").cmp(other.text("timestamp")));
    let mut story: Vec<String> = lines.iter().map(Line::shown).collect();
    story.push(format!("cause: {}", cause(&lines)));
    Ok(story.join("\n"))
}

/// Returns what became of the last submission of the request.
fn cause(lines: &[Line]) -> String {
    let last = |message: &str| lines.iter().rfind(|line| line.text("message") == message);
    let starts = lines.iter().filter(|line| line.text("message") == "run started").count();
    let Some(answered) = last("answered") else {
        return match last("caller gone: stopping the job") {
            Some(_) => format!("the caller went away; {starts} runs had started"),
            None => {
                format!("no answer: the entry ended with it, or is at work; {starts} runs started")
            }
        };
    };
    match answered.text("answer") {
        "completed" => format!("completed in {} ms", answered.number("took_ms")),
        "failed" => {
            last("job failed").map_or("failed, by an earlier answer".to_owned(), |failed| {
                let (runs, most) = (failed.number("runs"), failed.number("max_failed_runs"));
                format!(
                    "out of attempts: task {} failed {runs} of {most} times",
                    failed.text("task")
                )
            })
        }
        "refused" => refusal(last("refused on arrival"), last("refused")),
        "interrupted" => format!(
            "given up after {} ms by its entry, which stood still or ran out of time; {starts} runs started",
            answered.number("took_ms")
        ),
        other => format!("answered {other}"),
    }
}

fn refusal(on_arrival: Option<&Line>, at_once: Option<&Line>) -> String {
    match (on_arrival, at_once) {
        (Some(line), _) => format!(
            "refused under overload: {} ms of waiting expected, {} ms possible; not run",
            line.number("wait_ms"),
            line.number("patience_ms")
        ),
        (None, Some(line)) => format!("refused, {}; not run", line.text("reason")),
        (None, None) => "refused after it had waited in vain; not run".to_owned(),
    }
}
