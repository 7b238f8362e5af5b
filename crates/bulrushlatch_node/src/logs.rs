//! Structured logs on standard output that never block the process.

use std::{
    io::Write,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use bulrushlatch_runtime::telemetry::LogFormat;
use crossbeam::channel::{Receiver, Sender, bounded};
use tracing_subscriber::{EnvFilter, fmt::MakeWriter};

/// Lines that may wait for standard output; more are left out and counted.
const MOST_QUEUED_LINES: usize = 2_000;
/// Lines in a second above which lines are left out and counted, to bound the processor time.
const MOST_LINES_PER_S: u64 = 400;
/// Span over which lines are counted.
const BUDGET_SPAN: Duration = Duration::from_secs(1);

/// Starts logging; `filter` is a level or a filter directive.
pub fn start_logs(format: LogFormat, filter: &str) {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let (lines, queue) = bounded(MOST_QUEUED_LINES);
    let left_out = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&left_out);
    thread::spawn(move || write_lines(&queue, &counter));
    let writer = LineWriter { lines, left_out };
    let builder = tracing_subscriber::fmt().with_env_filter(filter);
    let builder = builder.with_target(false).with_writer(writer);
    // A second call in one process keeps the first subscriber.
    let _ = match format {
        LogFormat::Text => builder.with_ansi(false).try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
}

/// Hands lines to the thread that writes them.
#[derive(Clone, Debug)]
struct LineWriter {
    lines: Sender<Vec<u8>>,
    left_out: Arc<AtomicU64>,
}

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        if self.lines.try_send(line.to_vec()).is_err() {
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

fn write_lines(queue: &Receiver<Vec<u8>>, left_out: &AtomicU64) {
    let mut span_began = Instant::now();
    let mut written = 0;
    for line in queue {
        if span_began.elapsed() >= BUDGET_SPAN {
            span_began = Instant::now();
            written = 0;
        }
        if written >= MOST_LINES_PER_S {
            left_out.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        written += 1;
        let mut out = std::io::stdout().lock();
        let missing = left_out.swap(0, Ordering::Relaxed);
        // Nobody is left to be told when standard output is closed.
        if missing > 0 {
            let _ = writeln!(out, "{{\"message\":\"log lines left out\",\"count\":{missing}}}");
        }
        let _ = out.write_all(&line);
    }
}
