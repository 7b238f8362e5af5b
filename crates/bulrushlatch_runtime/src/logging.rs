//! Structured log lines, written without blocking the process.

use std::{
    io::Write,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crossbeam::channel::{Receiver, Sender, bounded};
use tracing::{Event, Subscriber};
use tracing_subscriber::{
    EnvFilter, Layer,
    filter::LevelFilter,
    fmt::{
        Formatter, MakeWriter, SubscriberBuilder,
        format::{DefaultFields, Format, Json, JsonFields},
    },
    layer::{Context, SubscriberExt},
    util::SubscriberInitExt,
};

/// Maximum number of lines that wait to be written; further ones are dropped and counted.
const MAX_QUEUED_LINES: usize = 2_000;
/// Maximum number of lines per second, to bound the CPU time; further ones are dropped and counted.
const MAX_LINES_PER_S: u64 = 400;
/// Window of the rate limit.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Pause of the writing thread after each write. The lines of one pause share a system call and a
/// wake-up of the thread, which cost more than formatting a line.
const WRITE_INTERVAL: Duration = Duration::from_millis(20);
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
    let (messages, queue) = bounded(MAX_QUEUED_LINES);
    let guard = LogGuard { messages: messages.clone() };
    let dropped_lines = Arc::new(AtomicU64::new(0));
    let writer_dropped_lines = Arc::clone(&dropped_lines);
    thread::spawn(move || match output {
        LogOutput::Stdout => write_lines(&queue, &writer_dropped_lines, std::io::stdout()),
        LogOutput::Stderr => write_lines(&queue, &writer_dropped_lines, std::io::stderr()),
    });
    let rate_limit = RateLimit::new(Arc::clone(&dropped_lines));
    let writer = LineWriter { messages, dropped_lines };
    let builder = tracing_subscriber::fmt().with_target(false).with_writer(writer);
    // A level is compared directly; directives need a filter that is looked up for each call site.
    match filter.parse::<LevelFilter>() {
        Ok(level) => init_subscriber(format, builder.with_max_level(level), rate_limit),
        Err(_) => {
            let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
            init_subscriber(format, builder.with_env_filter(filter), rate_limit);
        }
    }
    guard
}

/// Makes the subscriber that `builder` describes the global one, below the rate limit.
fn init_subscriber<F>(
    format: LogFormat,
    builder: SubscriberBuilder<DefaultFields, Format, F, LineWriter>,
    rate_limit: RateLimit,
) where
    F: Layer<Formatter<DefaultFields, Format, LineWriter>> + Send + Sync + 'static,
    F: Layer<Formatter<JsonFields, Format<Json>, LineWriter>>,
{
    // Fails on a second call in one process, which keeps the first subscriber.
    let _ = match format {
        LogFormat::Text => builder.with_ansi(false).finish().with(rate_limit).try_init(),
        LogFormat::Json => builder.json().flatten_event(true).finish().with(rate_limit).try_init(),
    };
}

/// Drops events beyond [`MAX_LINES_PER_S`] before they are formatted.
#[derive(Debug)]
struct RateLimit {
    window: Mutex<RateWindow>,
    dropped_lines: Arc<AtomicU64>,
}

#[derive(Debug)]
struct RateWindow {
    started_at: Instant,
    /// Lines accepted since then.
    lines: u64,
}

impl RateLimit {
    fn new(dropped_lines: Arc<AtomicU64>) -> Self {
        let window = RateWindow { started_at: Instant::now(), lines: 0 };
        Self { window: Mutex::new(window), dropped_lines }
    }
}

impl<S: Subscriber> Layer<S> for RateLimit {
    fn event_enabled(&self, _event: &Event<'_>, _context: Context<'_, S>) -> bool {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        if window.started_at.elapsed() >= RATE_WINDOW {
            *window = RateWindow { started_at: Instant::now(), lines: 0 };
        }
        let is_accepted = window.lines < MAX_LINES_PER_S;
        if is_accepted {
            window.lines += 1;
        } else {
            self.dropped_lines.fetch_add(1, Ordering::Relaxed);
        }
        is_accepted
    }
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

/// Writes the queued lines every [`WRITE_INTERVAL`] until the queue is closed.
fn write_lines<W: Write>(queue: &Receiver<Message>, dropped_lines: &AtomicU64, mut output: W) {
    let mut lines = Vec::new();
    while let Ok(first) = queue.recv() {
        let mut flushed = Vec::new();
        for message in std::iter::once(first).chain(queue.try_iter()) {
            match message {
                Message::Line(line) => lines.extend(line),
                Message::Flush(done) => flushed.push(done),
            }
        }
        let dropped_count = dropped_lines.swap(0, Ordering::Relaxed);
        if dropped_count > 0 {
            let report =
                format!("{{\"message\":\"log lines left out\",\"count\":{dropped_count}}}\n");
            lines.extend(report.into_bytes());
        }
        // A closed output leaves no way to report the error.
        let _ = output.write_all(&lines).and_then(|()| output.flush());
        lines.clear();
        for done in flushed {
            // Fails if the guard has stopped waiting.
            let _ = done.send(());
        }
        thread::sleep(WRITE_INTERVAL);
    }
}
