//! Stand-ins as processes.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;

use super::Error;
use crate::process::Process;
use crate::proxy::{Link, Runtime};

/// A stand-in process and its address.
#[derive(Debug)]
pub struct StandIn {
    /// Process.
    pub process: Process,
    /// Address.
    pub address: SocketAddr,
    /// Address that instances are told.
    pub instance_address: SocketAddr,
    /// Proxy before the stand-in.
    pub link: Option<Link>,
    /// Arguments of the process, without address and journal.
    args: Vec<String>,
    /// Starts of the process so far.
    starts: usize,
}

/// First line of a stand-in.
#[derive(Debug, Deserialize)]
struct Ready {
    address: SocketAddr,
}

impl StandIn {
    /// Starts a stand-in on a free address.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
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

    /// Starts the process again under its old address, after its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
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
