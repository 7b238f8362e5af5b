//! Structured logs that never block the process.

use std::{
    io::Write,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crossbeam::channel::{Receiver, Sender, bounded};
use tracing_subscriber::{EnvFilter, fmt::MakeWriter};

/// Lines that may wait for the output; more are left out and counted.
const MOST_QUEUED_LINES: usize = 2_000;
/// Lines in a second above which lines are left out and counted, to bound the processor time.
const MOST_LINES_PER_S: u64 = 400;
/// Span over which lines are counted.
const BUDGET_SPAN: Duration = Duration::from_secs(1);
/// Time in which the last lines of a process must be written: an output that blocks must not keep it.
const LAST_LINES_WITHIN: Duration = Duration::from_millis(100);

/// Form of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Where log lines go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard output.
    Stdout,
    /// Standard error, for tools that print their results.
    Stderr,
}

/// Gives the last lines time to be written when it is dropped.
#[must_use = "the last lines are lost without it"]
#[derive(Debug)]
pub struct LogGuard {
    messages: Sender<Message>,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        let (done, is_done) = bounded(1);
        let sent = self.messages.send_timeout(Message::Flush(done), LAST_LINES_WITHIN);
        if sent.is_ok() {
            // Whether the lines are out or the time is up, the process ends.
            let _ = is_done.recv_timeout(LAST_LINES_WITHIN);
        }
    }
}

/// Starts logging; `filter` is a level or a filter directive.
pub fn init_logging(format: LogFormat, filter: &str, output: LogOutput) -> LogGuard {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let (messages, queue) = bounded(MOST_QUEUED_LINES);
    let guard = LogGuard { messages: messages.clone() };
    let left_out = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&left_out);
    thread::spawn(move || match output {
        LogOutput::Stdout => write_lines(&queue, &counter, std::io::stdout),
        LogOutput::Stderr => write_lines(&queue, &counter, std::io::stderr),
    });
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_target(false);
    let builder = builder.with_writer(LineWriter { messages, left_out });
    // A second call in one process keeps the first subscriber.
    let _ = match format {
        LogFormat::Text => builder.with_ansi(false).try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
    guard
}

/// What the writing thread gets.
#[derive(Debug)]
enum Message {
    Line(Vec<u8>),
    /// Answered when all lines before it have been written.
    Flush(Sender<()>),
}

/// Hands lines to the thread that writes them.
#[derive(Clone, Debug)]
struct LineWriter {
    messages: Sender<Message>,
    left_out: Arc<AtomicU64>,
}

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        if self.messages.try_send(Message::Line(line.to_vec())).is_err() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LineWriter {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}

fn write_lines<W: Write>(queue: &Receiver<Message>, left_out: &AtomicU64, output: fn() -> W) {
    let mut span_began = Instant::now();
    let mut written = 0;
    for message in queue {
        let line = match message {
            Message::Line(line) => line,
            Message::Flush(done) => {
                // Nobody waits any more once the time is up.
                let _ = done.send(());
                continue;
            }
        };
        if span_began.elapsed() >= BUDGET_SPAN {
            span_began = Instant::now();
            written = 0;
        }
        if written >= MOST_LINES_PER_S {
            left_out.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        written += 1;
        let mut out = output();
        let missing = left_out.swap(0, Ordering::Relaxed);
        // Nobody is left to be told when the output is closed.
        if missing > 0 {
            let _ = writeln!(out, "{{\"message\":\"log lines left out\",\"count\":{missing}}}");
        }
        let _ = out.write_all(&line);
    }
}
