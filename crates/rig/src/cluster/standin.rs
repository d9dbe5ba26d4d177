//! Stand-ins that run as processes of their own.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;

use super::Error;
use crate::process::Process;
use crate::proxy::{Link, Runtime};

/// A running stand-in process; it is killed on drop.
#[derive(Debug)]
pub struct StandIn {
    /// Handle of the process, for signals and its exit status.
    pub process: Process,
    /// Address on which the process listens.
    pub address: SocketAddr,
    /// Address that instances use: that of the proxy, if there is one.
    pub instance_address: SocketAddr,
    /// Proxy in front of the stand-in; `None` without fault injection.
    pub link: Option<Link>,
    /// Arguments of the process, without those for address and journal file.
    args: Vec<String>,
    /// Number of starts, which numbers the journal files.
    starts: usize,
}

/// JSON line that a stand-in prints once it listens.
#[derive(Debug, Deserialize)]
struct Ready {
    address: SocketAddr,
}

impl StandIn {
    /// Starts a stand-in on a free port of loopback.
    ///
    /// It writes a journal file into `folder` if `journal_file` is set. With a `runtime` it
    /// gets a proxy in front.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started or prints no address.
    pub fn spawn(
        args: &[String],
        folder: &Path,
        journal_file: bool,
        runtime: Option<&Runtime>,
    ) -> Result<Self, Error> {
        let args = args.to_vec();
        let (process, address) = launch(&args, "127.0.0.1:0", folder, journal_file, 0)?;
        let link = runtime.map(|runtime| runtime.link(address)).transpose()?;
        let instance_address = link.as_ref().map_or(address, |link| link.address);
        Ok(Self { process, address, instance_address, link, args, starts: 1 })
    }

    /// Starts the process again on its old address after it has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started or prints no address.
    pub fn restart(&mut self, folder: &Path, journal_file: bool) -> Result<(), Error> {
        let address = self.address.to_string();
        self.process = launch(&self.args, &address, folder, journal_file, self.starts)?.0;
        self.starts += 1;
        Ok(())
    }
}

fn launch(
    args: &[String],
    address: &str,
    folder: &Path,
    journal_file: bool,
    starts: usize,
) -> Result<(Process, SocketAddr), Error> {
    let listen = format!("--listen={address}");
    let name = args.iter().find_map(|arg| arg.strip_prefix("--name=")).unwrap_or("platform");
    let path = folder.join(format!("{name}-{starts}.journal"));
    let journal = format!("--journal={}", path.display());
    let mut all: Vec<&str> = args.iter().map(String::as_str).collect();
    all.push(&listen);
    if journal_file {
        all.push(&journal);
    }
    let mut process = Process::spawn("lacewing-standins", &all, &folder.join("standins.log"))?;
    let ready: Ready = serde_json::from_str(&process.first_line()?)?;
    Ok((process, ready.address))
}
