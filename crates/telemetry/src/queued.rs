//! Logging of JSON lines to standard output without blocking.
//!
//! A bounded queue passes the lines to a separate thread, which writes them. If the output is no
//! longer read, the queue fills up, and further lines are dropped and counted.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use logforth::append::Append;
use logforth::layout::JsonLayout;
use logforth::{Diagnostic, Layout};

/// Maximum of queued lines. With 400 bytes each, they take 100 KB.
pub const QUEUE_LINES_MAX: usize = 256;
/// Size at which a batch of lines is written.
const BATCH_BYTES: usize = 4 << 10;

/// Appends log lines to a bounded queue.
#[derive(Debug)]
pub struct QueuedAppender {
    layout: JsonLayout,
    sender: Mutex<SyncSender<Vec<u8>>>,
    dropped: Arc<AtomicU64>,
}

impl QueuedAppender {
    /// Creates the queue and starts the thread that writes its lines to `out`.
    ///
    /// Errors: the thread could not be started.
    pub fn new(out: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (sender, receiver) = sync_channel(QUEUE_LINES_MAX);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".into())
            .spawn(move || write_all(out, &receiver, &counted))?;
        Ok(Self { layout: JsonLayout::default(), sender: Mutex::new(sender), dropped })
    }

    /// Queues a line, or drops and counts it if the queue is full. Returns whether it was queued.
    pub fn push(&self, line: Vec<u8>) -> bool {
        let sender = self.sender.lock().unwrap_or_else(PoisonError::into_inner);
        let queued = sender.try_send(line).is_ok();
        if !queued {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        queued
    }
}

impl Append for QueuedAppender {
    fn append(
        &self,
        record: &logforth::record::Record,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<(), logforth::Error> {
        let mut line = self.layout.format(record, diagnostics)?;
        line.push(b'\n');
        self.push(line);
        Ok(())
    }

    fn flush(&self) -> Result<(), logforth::Error> {
        Ok(())
    }
}

/// Sends the log of this process to standard output, each line with the name of the instance.
/// A second call changes nothing and returns false.
///
/// Errors: the writer thread could not be started.
pub fn start(instance: &str) -> std::io::Result<bool> {
    Ok(crate::log::start_to(instance, QueuedAppender::new(std::io::stdout())?))
}

fn write_all(mut out: impl Write, lines: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    while let Ok(mut batch) = lines.recv() {
        while batch.len() < BATCH_BYTES
            && let Ok(line) = lines.try_recv()
        {
            batch.extend_from_slice(&line);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let note = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"lines\":{lost}}}\n"
            );
            batch.extend_from_slice(note.as_bytes());
        }
        // A failure cannot be reported anywhere, because the output itself has failed.
        let _ = out.write_all(&batch).and_then(|()| out.flush());
    }
}
