//! Child processes of both labs. Each is killed when its `Process` is dropped.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use anyhow::{Context as _, ensure};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Builds with cargo and returns the target folder, which has a folder of binaries per profile.
pub(crate) fn build(arguments: &[&str]) -> anyhow::Result<PathBuf> {
    let mut command = Command::new(env!("CARGO"));
    command.args(["build", "--locked"]).args(arguments);
    let status = command.stdin(Stdio::null()).status().context("cargo build")?;
    ensure!(status.success(), "cargo build: {status}");
    let executable = std::env::current_exe()?;
    let target = executable.parent().and_then(Path::parent).context("no target folder")?;
    Ok(target.to_owned())
}

/// A child process. Dropping it kills the process and waits for its exit.
pub(crate) struct Process {
    name: String,
    child: Child,
}

impl Process {
    /// Starts `program`, with an additional environment variable if one is given. Its output goes
    /// to the file `log`.
    pub(crate) fn start(
        name: &str,
        program: &Path,
        arguments: &[String],
        variable: Option<(&str, &str)>,
        log: &Path,
    ) -> anyhow::Result<Self> {
        let log = File::create(log).with_context(|| format!("cannot write {}", log.display()))?;
        let child = Command::new(program)
            .args(arguments)
            .envs(variable)
            .env("RUST_BACKTRACE", "1")
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .with_context(|| format!("cannot start {}", program.display()))?;
        Ok(Self { name: name.to_owned(), child })
    }

    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    /// Sends a signal. Does nothing if the process has already exited.
    pub(crate) fn signal(&self, signal: Signal) {
        // Only `exit_status` reaps the child, so until then its id can't be another process's.
        let _ = kill(Pid::from_raw(self.child.id() as i32), signal);
    }

    /// The exit status, or none while the process is running.
    pub(crate) fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.exit_status().is_some() {
            return;
        }
        // SIGKILL also ends a process that is stopped by SIGSTOP.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
