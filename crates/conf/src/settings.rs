//! All settings of the router daemon `lacewingd`.

use std::fs;
use std::path::Path;

use crate::reader::{Key, Reader};
use crate::{Error, admin, instance, ledger, limits, log, peers, platform, route};

/// Settings of one instance, one field for each section of the file.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Settings {
    /// Section `[instance]`: name, failure domain and listeners.
    pub instance: instance::Instance,
    /// Section `[platform]`: client of the platform.
    pub platform: platform::Platform,
    /// Section `[peers]`: link between instances.
    pub peers: peers::Peers,
    /// Section `[ledger]`: pieces of budgets and their lease.
    pub ledger: ledger::Ledger,
    /// Section `[limits]`: limits on requests.
    pub limits: limits::Limits,
    /// Section `[route]`: choice and polling of upstreams.
    pub route: route::Route,
    /// Section `[admin]`: the root operator.
    pub admin: admin::Admin,
    /// Section `[log]`: level and format.
    pub log: log::Log,
}

impl Settings {
    /// Reads settings from an INI file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, or all faults of its settings together.
    pub fn open(path: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path)
            .map_err(|source| Error::Read { path: path.to_owned(), source })?;
        Self::parse(&text)
    }

    /// Reads settings from INI text; missing keys have their defaults.
    ///
    /// # Errors
    ///
    /// Returns a syntax error, or all faults of the settings together.
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

    /// Returns the names of all settings that a file may contain.
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
