//! JSON lines on standard output that never hold up the process.
//!
//! Lines go through a bounded queue to a thread of their own. If whoever reads the output stops
//! doing so, the queue fills up, and further lines are dropped and counted.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use logforth::append::Append;
use logforth::layout::JsonLayout;
use logforth::{Diagnostic, Layout};

/// Lines that wait at most; with 400 bytes each this is 100 KB.
pub const QUEUE_LINES_MAX: usize = 256;
/// Lines written with one call.
const BATCH_BYTES: usize = 4 << 10;

/// Appends lines to a queue.
#[derive(Debug)]
pub struct QueuedAppender {
    layout: JsonLayout,
    sender: Mutex<SyncSender<Vec<u8>>>,
    dropped: Arc<AtomicU64>,
}

impl QueuedAppender {
    /// A queue before `out`, with a thread that writes.
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

    /// Queues a line; says whether there was room.
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
/// Errors: the thread that writes could not be started.
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
        // Nobody is left to be told if the output itself is gone.
        let _ = out.write_all(&batch).and_then(|()| out.flush());
    }
}
