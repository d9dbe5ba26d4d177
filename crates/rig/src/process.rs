//! Child processes of trials, ended when their handle is dropped.

use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use rustix::process::{Pid, Signal, kill_process};

/// A running child process.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

/// Returns the path of one of the project's programs, next to the running one.
///
/// # Errors
///
/// Returns an error if the program has not been built.
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
    /// Starts a program; its log goes to a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be started.
    pub fn spawn(name: &str, args: &[&str], log: &Path) -> io::Result<Self> {
        Self::spawn_with(name, args, Stdio::piped(), open_log(log)?)
    }

    /// Starts a program whose standard output is its log.
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

    /// Reads the line that the program prints when it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the program ends before it prints a line.
    pub fn first_line(&mut self) -> io::Result<String> {
        let Some(stdout) = self.child.stdout.take() else {
            return Err(io::Error::other("the line was read already"));
        };
        let mut line = String::new();
        if BufReader::new(stdout).read_line(&mut line)? == 0 {
            return Err(io::Error::other("the program ended at its start"));
        }
        Ok(line)
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        // The status of a killed process says nothing new.
        drop(self.child.wait());
    }

    /// Stops the process from running until [`Process::resume`].
    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets a frozen process run again.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process for a planned stop.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Returns the exit status if the process has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the status cannot be read.
    pub fn exit_status(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    /// Returns the id of the process.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        if let Some(id) = id {
            // A process that has ended already needs no signal.
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
