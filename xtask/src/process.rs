//! Processes that the lab starts. Each is ended with the value that stands for it.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use anyhow::{Context as _, ensure};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Builds with cargo and returns the folder that has one folder of binaries for each profile.
pub(crate) fn build(arguments: &[&str]) -> anyhow::Result<PathBuf> {
    let mut command = Command::new(env!("CARGO"));
    command.args(["build", "--locked"]).args(arguments);
    let status = command.stdin(Stdio::null()).status().context("cargo build")?;
    ensure!(status.success(), "cargo build: {status}");
    let executable = std::env::current_exe()?;
    let target = executable.parent().and_then(Path::parent).context("no target folder")?;
    Ok(target.to_owned())
}

/// A running process. Dropping it kills it and waits until it is gone.
pub(crate) struct Process {
    name: String,
    child: Child,
}

impl Process {
    /// Starts `program` with a variable more in its environment, if one is given; its output goes to
    /// `log`.
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

    /// Sends a signal; a process that has just ended doesn't mind.
    pub(crate) fn signal(&self, signal: Signal) {
        // The child is not reaped before `exited` says so, so the id can't be another process's.
        let _ = kill(Pid::from_raw(self.child.id() as i32), signal);
    }

    /// The exit status, once it has ended.
    pub(crate) fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.exit_status().is_some() {
            return;
        }
        // A stopped process takes SIGKILL all the same.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
