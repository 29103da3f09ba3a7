//! Child processes of the bench, with their CPU time and memory as the kernel reports them.

use std::fs::{self, File};
use std::io::{BufRead as _, BufReader, Write as _};
use std::path::Path;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use anyhow::Context as _;

/// A child process. Dropping it kills the process and waits for its exit.
pub(super) struct Process {
    child: Child,
    pipes: Option<Mutex<(ChildStdin, BufReader<ChildStdout>)>>,
}

impl Process {
    /// Starts a daemon whose output goes to `log`.
    pub(super) fn daemon(program: &Path, arguments: &[&str], log: &Path) -> anyhow::Result<Self> {
        let log = File::create(log).with_context(|| log.display().to_string())?;
        let mut command = Command::new(program);
        command.args(arguments).stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        let child = command.spawn().with_context(|| program.display().to_string())?;
        Ok(Self { child, pipes: None })
    }

    /// Starts a program that answers each line of its standard input with one line.
    pub(super) fn interactive(program: &Path, arguments: &[String]) -> anyhow::Result<Self> {
        let mut command = Command::new(program);
        command.args(arguments).stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = command.spawn().with_context(|| program.display().to_string())?;
        let input = child.stdin.take().context("no standard input")?;
        let output = child.stdout.take().context("no standard output")?;
        Ok(Self { child, pipes: Some(Mutex::new((input, BufReader::new(output)))) })
    }

    /// Sends an empty line to an interactive process and returns its answer.
    pub(super) fn query(&self) -> anyhow::Result<String> {
        let pipes = self.pipes.as_ref().context("the process is not interactive")?;
        let mut pipes = pipes.lock().unwrap_or_else(PoisonError::into_inner);
        writeln!(pipes.0)?;
        let mut line = String::new();
        pipes.1.read_line(&mut line)?;
        Ok(line.trim().to_owned())
    }

    /// CPU time of the threads called `name`, or of all threads.
    pub(super) fn cpu_time(&self, name: Option<&str>) -> anyhow::Result<Duration> {
        let mut nanoseconds = 0;
        for task in fs::read_dir(format!("/proc/{}/task", self.child.id()))? {
            let folder = task?.path();
            // A thread may exit between the listing of the folder and the reading of its files.
            let Ok(comm) = fs::read_to_string(folder.join("comm")) else { continue };
            if name.is_some_and(|name| comm.trim() != name) {
                continue;
            }
            let Ok(text) = fs::read_to_string(folder.join("schedstat")) else { continue };
            let first = text.split_whitespace().next().context("schedstat is empty")?;
            nanoseconds += first.parse::<u64>()?;
        }
        Ok(Duration::from_nanos(nanoseconds))
    }

    /// Resident memory (VmRSS), in bytes.
    pub(super) fn resident_bytes(&self) -> anyhow::Result<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).context("no VmRSS")?;
        let kilobytes = line.split_whitespace().nth(1).context("VmRSS without a number")?;
        Ok(kilobytes.parse::<u64>()? * 1_024)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both calls fail if the process has already exited, and then nothing is left to do.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
