//! All settings of the router daemon.

use std::fs;
use std::path::Path;

use crate::reader::{Key, Reader};
use crate::{Error, admin, instance, ledger, limits, log, peers, platform, route};

/// All settings, a field for each section.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Settings {
    /// Section `[instance]`.
    pub instance: instance::Instance,
    /// Section `[platform]`.
    pub platform: platform::Platform,
    /// Section `[peers]`.
    pub peers: peers::Peers,
    /// Section `[ledger]`.
    pub ledger: ledger::Ledger,
    /// Section `[limits]`.
    pub limits: limits::Limits,
    /// Section `[route]`.
    pub route: route::Route,
    /// Section `[admin]`.
    pub admin: admin::Admin,
    /// Section `[log]`.
    pub log: log::Log,
}

impl Settings {
    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Returns all faults of the file together.
    pub fn open(path: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path)
            .map_err(|source| Error::Read { path: path.to_owned(), source })?;
        Self::parse(&text)
    }

    /// Reads settings from text; keys that are missing have their defaults.
    ///
    /// # Errors
    ///
    /// Returns all faults of the text together.
    ///
    /// # Examples
    ///
    /// ```
    /// let settings = conf::Settings::parse("[instance]\nname = quito-1\n").unwrap();
    /// assert_eq!(settings.instance.name, "quito-1");
    /// assert!(conf::Settings::parse("[instance]\nnmae = quito-1\n").is_err());
    /// ```
    pub fn parse(text: &str) -> Result<Self, Error> {
        let mut reader = Reader::open(text).map_err(Error::Syntax)?;
        let settings = Self::read(&mut reader);
        let faults = reader.finish();
        if faults.is_empty() { Ok(settings) } else { Err(Error::Faults(faults)) }
    }

    /// Returns the names of all settings.
    ///
    /// # Examples
    ///
    /// ```
    /// assert!(conf::Settings::known_keys().iter().any(|name| name.key == "listen"));
    /// ```
    #[must_use]
    pub fn known_keys() -> Vec<Key> {
        let Ok(mut reader) = Reader::open("") else { return Vec::new() };
        Self::read(&mut reader);
        reader.known_keys()
    }

    fn read(reader: &mut Reader) -> Self {
        Self {
            instance: instance::Instance::read(&mut reader.section("instance")),
            platform: platform::Platform::read(&mut reader.section("platform")),
            peers: peers::Peers::read(&mut reader.section("peers")),
            ledger: ledger::Ledger::read(&mut reader.section("ledger")),
            limits: limits::Limits::read(&mut reader.section("limits")),
            route: route::Route::read(&mut reader.section("route")),
            admin: admin::Admin::read(&mut reader.section("admin")),
            log: log::Log::read(&mut reader.section("log")),
        }
    }
}
