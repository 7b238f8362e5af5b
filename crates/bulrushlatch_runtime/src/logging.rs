//! Structured log lines, written without blocking the process.

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

/// Maximum number of lines that wait to be written; further ones are dropped and counted.
const MAX_QUEUED_LINES: usize = 2_000;
/// Maximum number of lines written per second, to bound the CPU time; further ones are dropped and
/// counted.
const MAX_LINES_PER_S: u64 = 400;
/// Window of the rate limit.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Time to write the last lines of a process: a blocked output must not delay its end.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Destination of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard output.
    Stdout,
    /// Standard error, for tools that print their results to standard output.
    Stderr,
}

/// Flushes the last lines when dropped, waiting only a bounded time.
#[must_use = "the last lines are lost without it"]
#[derive(Debug)]
pub struct LogGuard {
    messages: Sender<Message>,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        let (done_sender, done) = bounded(1);
        let sent = self.messages.send_timeout(Message::Flush(done_sender), FLUSH_TIMEOUT);
        if sent.is_ok() {
            // The process ends whether the lines were written or the wait timed out.
            let _ = done.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Starts logging; `filter` is a level or a filter directive, and `info` if it is invalid.
pub fn init_logging(format: LogFormat, filter: &str, output: LogOutput) -> LogGuard {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let (messages, queue) = bounded(MAX_QUEUED_LINES);
    let guard = LogGuard { messages: messages.clone() };
    let dropped_lines = Arc::new(AtomicU64::new(0));
    let writer_dropped_lines = Arc::clone(&dropped_lines);
    thread::spawn(move || match output {
        LogOutput::Stdout => write_lines(&queue, &writer_dropped_lines, std::io::stdout),
        LogOutput::Stderr => write_lines(&queue, &writer_dropped_lines, std::io::stderr),
    });
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_target(false);
    let builder = builder.with_writer(LineWriter { messages, dropped_lines });
    // Fails on a second call in one process, which keeps the first subscriber.
    let _ = match format {
        LogFormat::Text => builder.with_ansi(false).try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
    guard
}

/// Message to the thread that writes the lines.
#[derive(Debug)]
enum Message {
    Line(Vec<u8>),
    /// Requests a notification when all lines before it have been written.
    Flush(Sender<()>),
}

/// Queues lines for the thread that writes them.
#[derive(Clone, Debug)]
struct LineWriter {
    messages: Sender<Message>,
    dropped_lines: Arc<AtomicU64>,
}

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        if self.messages.try_send(Message::Line(line.to_vec())).is_err() {
            self.dropped_lines.fetch_add(1, Ordering::Relaxed);
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

fn write_lines<W: Write>(queue: &Receiver<Message>, dropped_lines: &AtomicU64, output: fn() -> W) {
    let mut window_start = Instant::now();
    let mut written_count = 0;
    for message in queue {
        let line = match message {
            Message::Line(line) => line,
            Message::Flush(done) => {
                // Fails if the guard has stopped waiting.
                let _ = done.send(());
                continue;
            }
        };
        if window_start.elapsed() >= RATE_WINDOW {
            window_start = Instant::now();
            written_count = 0;
        }
        if written_count >= MAX_LINES_PER_S {
            dropped_lines.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        written_count += 1;
        let mut out = output();
        let dropped_count = dropped_lines.swap(0, Ordering::Relaxed);
        // A closed output leaves no way to report the error.
        if dropped_count > 0 {
            let _ =
                writeln!(out, "{{\"message\":\"log lines left out\",\"count\":{dropped_count}}}");
        }
        let _ = out.write_all(&line);
    }
}
