//! The outcome of one request, reconstructed from the log lines of all processes.

use std::{fmt::Write, io::BufRead};

use serde_json::{Map, Value};

/// Fields without a `name=value` pair: time and message are printed first, the level is not printed.
const EXCLUDED_FIELDS: [&str; 3] = ["timestamp", "level", "message"];

/// A JSON log line about the request.
#[derive(Clone, Debug, PartialEq)]
struct LogLine {
    /// Text in front of the JSON object, such as the name of a VM.
    source: String,
    fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line; returns `None` unless it is about the job `id` or one of its tasks.
    fn parse(text: &str, id: &str) -> Option<Self> {
        let (source, object) = text.split_at(text.find('{')?);
        let fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let line = Self { source: source.trim().to_owned(), fields };
        // The key of a task starts with the id of its job.
        let is_task = line.text("task").split('/').next() == Some(id);
        (line.text("job") == id || is_task).then_some(line)
    }

    /// Returns a string field; empty if it is missing.
    fn text(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or("")
    }

    /// Returns an integer field; zero if it is missing.
    fn integer(&self, field: &str) -> i64 {
        self.fields.get(field).and_then(Value::as_i64).unwrap_or(0)
    }

    /// Formats the line for operators as time, source and message, followed by `name=value` pairs.
    fn to_text(&self) -> String {
        let mut text =
            format!("{} {} {}", self.text("timestamp"), self.source, self.text("message"));
        for (name, value) in &self.fields {
            if !EXCLUDED_FIELDS.contains(&name.as_str()) {
                let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
                // Writing to a string cannot fail.
                let _ = write!(text, " {name}={value}");
            }
        }
        text
    }
}

/// Returns the log lines about the request `id` in chronological order, followed by its outcome.
///
/// # Errors
///
/// Returns an error when `input` cannot be read or no line is about the request.
pub fn explain_request(id: &str, input: impl BufRead) -> Result<String, String> {
    let mut lines = Vec::new();
    for text in input.lines() {
        let text = text.map_err(|error| format!("log lines cannot be read: {error}"))?;
        lines.extend(LogLine::parse(&text, id));
    }
    if lines.is_empty() {
        return Err(format!(
            "no log line is about request {id:?}; log lines may have been left out"
        ));
    }
    lines.sort_by(|a, b| a.text("timestamp").cmp(b.text("timestamp")));
    let mut output: Vec<String> = lines.iter().map(LogLine::to_text).collect();
    output.push(format!("cause: {}", explain_outcome(&lines)));
    Ok(output.join("\n"))
}

/// Explains the outcome of the latest submission of the request.
fn explain_outcome(lines: &[LogLine]) -> String {
    let last = |message: &str| lines.iter().rfind(|line| line.text("message") == message);
    let runs = lines.iter().filter(|line| line.text("message") == "run started").count();
    let Some(answered) = last("answered") else {
        return match last("caller gone: stopping the job") {
            Some(_) => format!("the caller went away; {runs} runs had started"),
            None => {
                format!("no answer: the entry ended with it, or is at work; {runs} runs started")
            }
        };
    };
    let was_late = last("taken, will be late").or(last("job will be late")).is_some();
    match answered.text("answer") {
        "completed" if was_late => format!(
            "completed in {} ms, after jobs that could still be in time",
            answered.integer("took_ms")
        ),
        "completed" => format!("completed in {} ms", answered.integer("took_ms")),
        "failed" => {
            // Missing if the input covers only a resubmission, which is answered from the cache.
            last("job failed").map_or("failed, by an earlier answer".to_owned(), |failed| {
                let failed_runs = failed.integer("runs");
                let max_failed_runs = failed.integer("max_failed_runs");
                format!(
                    "out of attempts: task {} failed {failed_runs} of {max_failed_runs} times",
                    failed.text("task")
                )
            })
        }
        "refused" if was_late => format!(
            "refused after {} ms in which jobs that could be in time took all capacity; not run",
            answered.integer("took_ms")
        ),
        "refused" => explain_refusal(last("refused on arrival"), last("refused")),
        "interrupted" => format!(
            "given up after {} ms by its entry, which stood still or ran out of time; {runs} runs started",
            answered.integer("took_ms")
        ),
        answer => format!("answered {answer}"),
    }
}

/// Explains a refusal by the line of the admission control, or else by the line of another refusal.
fn explain_refusal(by_admission: Option<&LogLine>, refused: Option<&LogLine>) -> String {
    match (by_admission, refused) {
        (Some(line), _) => format!(
            "refused under overload: {} ms of waiting expected, {} ms possible; not run",
            line.integer("wait_ms"),
            line.integer("patience_ms")
        ),
        (None, Some(line)) => format!("refused, {}; not run", line.text("reason")),
        (None, None) => "refused after it had waited in vain; not run".to_owned(),
    }
}
