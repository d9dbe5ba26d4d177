//! Child processes that are killed when their handle is dropped.

use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use rustix::process::{Pid, Signal, kill_process};

/// A child process, killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

/// Returns the path of a program of this project.
///
/// Searches the folder of the running program and the folder above.
///
/// # Errors
///
/// Returns an error if the program is not built.
pub fn program_path(name: &str) -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let candidates = own.ancestors().skip(1).take(2).map(|folder| folder.join(name));
    candidates.into_iter().find(|path| path.is_file()).ok_or_else(|| {
        io::Error::new(io::ErrorKind::NotFound, format!("program {name} is not built"))
    })
}

fn open_log(path: &Path) -> io::Result<File> {
    File::options().create(true).append(true).open(path)
}

impl Process {
    /// Starts a program with standard error appended to the file `log`.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be started.
    pub fn spawn(name: &str, args: &[&str], log: &Path) -> io::Result<Self> {
        Self::spawn_with(name, args, Stdio::piped(), open_log(log)?)
    }

    /// Starts a program with standard output and error appended to the file `log`.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be started.
    pub fn spawn_logged(name: &str, args: &[&str], log: &Path) -> io::Result<Self> {
        Self::spawn_with(name, args, open_log(log)?.into(), open_log(log)?)
    }

    fn spawn_with(name: &str, args: &[&str], stdout: Stdio, log: File) -> io::Result<Self> {
        let mut command = Command::new(program_path(name)?);
        command.args(args).stdin(Stdio::null()).stdout(stdout).stderr(log);
        Ok(Self { child: command.spawn()? })
    }

    /// Waits for the first line that the program prints.
    ///
    /// Programs print this line once they listen. Later lines are lost.
    ///
    /// # Errors
    ///
    /// Returns an error if the program ends without a line, or on a second call.
    pub fn first_line(&mut self) -> io::Result<String> {
        let Some(stdout) = self.child.stdout.take() else {
            return Err(io::Error::other("the first line was read before"));
        };
        let mut line = String::new();
        if BufReader::new(stdout).read_line(&mut line)? == 0 {
            return Err(io::Error::other("the program ended without a line"));
        }
        Ok(line)
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        // The wait reaps the process; its result does not matter after a kill.
        drop(self.child.wait());
    }

    /// Suspends the process until [`Process::resume`].
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Continues a suspended process.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Sends the signal for a planned stop; the process ends later.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Returns the exit status, or `None` while the process runs.
    ///
    /// # Errors
    ///
    /// Returns an error if the status cannot be read.
    pub fn exit_status(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        if let Some(id) = id {
            // The signal fails if the process has ended, which needs no handling.
            kill_process(id, signal).unwrap_or_default();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if !matches!(self.exit_status(), Ok(Some(_))) {
            self.kill();
        }
    }
}
