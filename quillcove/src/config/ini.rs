//! Reading INI settings with errors that name file, line, section and key, all at once.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use ini::Ini;

/// Similarity above which a known name is suggested for an unknown one.
const NEAR_MISS: f64 = 0.7;

/// Start of the environment variables that override settings.
const ENV_PREFIX: &str = "QUILLCOVE";

/// One fault in the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingFault {
    /// File, or where else the value came from.
    pub origin: String,
    /// Line, counted from 1; `None` for values that are not from the file.
    pub line: Option<usize>,
    /// Section and key, as `section.key`.
    pub key: String,
    /// What was found and what is accepted.
    pub message: String,
}

impl fmt::Display for SettingFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            Some(line) => write!(f, "{}:{line}: {}: {}", self.origin, self.key, self.message),
            None => write!(f, "{}: {}: {}", self.origin, self.key, self.message),
        }
    }
}

/// All faults of one set of settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingFaults(pub Vec<SettingFault>);

impl fmt::Display for SettingFaults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(SettingFault::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for SettingFaults {}

/// Where a value stands.
#[derive(Clone, Debug)]
struct RawSetting {
    section: String,
    key: String,
    value: String,
    origin: String,
    line: Option<usize>,
}

impl RawSetting {
    fn is_given(&self) -> bool {
        !self.value.trim().is_empty()
    }
}

/// The settings of one process before they are given types.
#[derive(Debug)]
pub struct SettingSource {
    file: String,
    settings: Vec<RawSetting>,
    sections: Vec<(String, usize)>,
    known: BTreeSet<(String, String)>,
    known_sections: BTreeSet<String>,
    faults: Vec<SettingFault>,
    use_environment: bool,
}

impl SettingSource {
    /// Reads a file's text, then overrides of the form `section.key=value`.
    ///
    /// ```
    /// use quillcove::config::ini::SettingSource;
    ///
    /// let mut source = SettingSource::read("a.ini", "[process]\nhost = e1\n", &[]);
    /// assert_eq!(source.text("process", "host", ""), "e1");
    /// assert!(source.finish().is_ok());
    /// ```
    pub fn read(file: &str, text: &str, overrides: &[String]) -> Self {
        let mut source = Self {
            file: file.to_string(),
            settings: Vec::new(),
            sections: Vec::new(),
            known: BTreeSet::new(),
            known_sections: BTreeSet::new(),
            faults: Vec::new(),
            use_environment: false,
        };
        match Ini::load_from_str_noescape(text) {
            Ok(ini) => source.take_file(&ini, text),
            Err(error) => source.faults.push(SettingFault {
                origin: file.to_string(),
                line: Some(error.line.max(1)),
                key: "syntax".to_string(),
                message: format!("{}; a line is '[section]', 'key = value' or '; note'", error.msg),
            }),
        }
        source.take_overrides(overrides);
        source
    }

    /// Lets environment variables such as `QUILLCOVE_PROCESS_HOST` override the file.
    ///
    /// ```
    /// use quillcove::config::ini::SettingSource;
    ///
    /// let mut source = SettingSource::read("a.ini", "", &[]).with_environment();
    /// assert_eq!(source.text("process", "host", "none"), "none");
    /// ```
    pub fn with_environment(mut self) -> Self {
        self.use_environment = true;
        self
    }

    fn take_file(&mut self, ini: &Ini, text: &str) {
        let lines = locate_lines(text);
        for (section, properties) in ini.iter() {
            let section = section.unwrap_or_default().to_string();
            for (key, value) in properties.iter() {
                let place = (section.clone(), key.to_string());
                let line = lines.iter().find(|(other, _)| *other == place).map(|(_, line)| *line);
                self.add(place, value, self.file.clone(), line);
            }
        }
        for (number, line) in text.lines().enumerate() {
            if let Some(name) = section_name(line) {
                self.sections.push((name.to_string(), number + 1));
            }
        }
    }

    fn add(&mut self, place: (String, String), value: &str, origin: String, line: Option<usize>) {
        let (section, key) = place;
        if self
            .settings
            .iter()
            .any(|other| other.section == section && other.key == key && other.origin == origin)
        {
            self.faults.push(SettingFault {
                origin: origin.clone(),
                line,
                key: format!("{section}.{key}"),
                message: "is given twice".to_string(),
            });
        }
        self.settings.push(RawSetting { section, key, value: value.to_string(), origin, line });
    }

    fn take_overrides(&mut self, overrides: &[String]) {
        for text in overrides {
            let parts = text.split_once('=').and_then(|(place, value)| {
                place.split_once('.').map(|(section, key)| (section, key, value))
            });
            match parts {
                Some((section, key, value)) => {
                    let place = (section.trim().to_string(), key.trim().to_string());
                    self.add(place, value.trim(), "--set".to_string(), None);
                },
                None => self.faults.push(SettingFault {
                    origin: "--set".to_string(),
                    line: None,
                    key: text.clone(),
                    message: "is not of the form section.key=value".to_string(),
                }),
            }
        }
    }

    /// The last value given for a key: the environment's goes before the flag's, and that before
    /// the file's.
    fn find(&mut self, section: &str, key: &str) -> Option<RawSetting> {
        self.known.insert((section.to_string(), key.to_string()));
        self.known_sections.insert(section.to_string());
        if self.use_environment {
            let name = format!("{ENV_PREFIX}_{}_{}", section.to_uppercase(), key.to_uppercase());
            if let Ok(value) = std::env::var(&name) {
                return Some(RawSetting {
                    section: section.to_string(),
                    key: key.to_string(),
                    value,
                    origin: name,
                    line: None,
                });
            }
        }
        let matching = |setting: &&RawSetting| setting.section == section && setting.key == key;
        self.settings.iter().rev().find(matching).cloned()
    }

    fn fault(&mut self, setting: &RawSetting, accepted: &str) {
        self.faults.push(SettingFault {
            origin: setting.origin.clone(),
            line: setting.line,
            key: format!("{}.{}", setting.section, setting.key),
            message: format!("found '{}'; accepted is {accepted}", setting.value),
        });
    }

    /// Reads a value with a parser of its own.
    ///
    /// ```
    /// use quillcove::config::ini::SettingSource;
    ///
    /// let mut source = SettingSource::read("a.ini", "[a]\nb = 5\n", &[]);
    /// let value = source.parsed("a", "b", 1, "a number", |text| text.parse().ok());
    /// assert_eq!(value, 5);
    /// ```
    pub fn parsed<T>(
        &mut self,
        section: &str,
        key: &str,
        default: T,
        accepted: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> T {
        // A key without a value is what a template leaves where the platform gives none.
        let Some(setting) = self.find(section, key).filter(RawSetting::is_given) else {
            return default;
        };
        match parse(setting.value.trim()) {
            Some(value) => value,
            None => {
                self.fault(&setting, accepted);
                default
            },
        }
    }

    /// Reads a text.
    ///
    /// ```
    /// use quillcove::config::ini::SettingSource;
    ///
    /// assert_eq!(SettingSource::read("a.ini", "", &[]).text("a", "b", "c"), "c");
    /// ```
    pub fn text(&mut self, section: &str, key: &str, default: &str) -> String {
        let accepted = "a text";
        self.parsed(section, key, default.to_string(), accepted, |text| Some(text.to_string()))
    }

    /// Reads a name of a host, hall, model or service, which must be given.
    ///
    /// ```
    /// use quillcove::config::ini::SettingSource;
    ///
    /// let mut source = SettingSource::read("a.ini", "", &[]);
    /// source.name("process", "host");
    /// assert!(source.finish().unwrap_err().to_string().contains("process.host"));
    /// ```
    pub fn name(&mut self, section: &str, key: &str) -> String {
        let accepted = "a name of letters, digits, dots, dashes or underscores";
        let parse = |text: &str| {
            quillcove_core::adapter::is_valid_name(text).then(|| Some(text.to_string()))
        };
        let value = self.parsed(section, key, None, accepted, parse);
        self.required(section, key, value, accepted).unwrap_or_default()
    }

    /// Reads an IP address with a port, which must be given.
    ///
    /// ```
    /// use quillcove::config::ini::SettingSource;
    ///
    /// let mut source = SettingSource::read("a.ini", "[a]\nb = 127.0.0.1:80\n", &[]);
    /// assert_eq!(source.address("a", "b").port(), 80);
    /// ```
    pub fn address(&mut self, section: &str, key: &str) -> SocketAddr {
        let accepted = "an IP address with a port, such as 127.0.0.1:7000";
        let value = self.parsed(section, key, None, accepted, |text| text.parse().ok().map(Some));
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
        self.required(section, key, value, accepted).unwrap_or(nowhere)
    }

    fn required<T>(
        &mut self,
        section: &str,
        key: &str,
        value: Option<T>,
        accepted: &str,
    ) -> Option<T> {
        if value.is_none() && !self.find(section, key).is_some_and(|found| found.is_given()) {
            self.faults.push(SettingFault {
                origin: self.file.clone(),
                line: None,
                key: format!("{section}.{key}"),
                message: format!("is missing; accepted is {accepted}"),
            });
        }
        value
    }

    /// Reads a whole number within a range.
    ///
    /// ```
    /// use quillcove::config::ini::SettingSource;
    ///
    /// assert_eq!(SettingSource::read("a.ini", "", &[]).number("a", "b", 5, 1, 9), 5);
    /// ```
    pub fn number(
        &mut self,
        section: &str,
        key: &str,
        default: usize,
        least: usize,
        most: usize,
    ) -> usize {
        let accepted = format!("a whole number from {least} to {most}");
        let parse = |text: &str| text.parse().ok().filter(|n| (least..=most).contains(n));
        self.parsed(section, key, default, &accepted, parse)
    }

    /// Reads a number with a fraction within a range.
    ///
    /// ```
    /// use quillcove::config::ini::SettingSource;
    ///
    /// assert_eq!(SettingSource::read("a.ini", "", &[]).fraction("a", "b", 0.5, 0.0, 1.0), 0.5);
    /// ```
    pub fn fraction(
        &mut self,
        section: &str,
        key: &str,
        default: f64,
        least: f64,
        most: f64,
    ) -> f64 {
        let accepted = format!("a number from {least} to {most}");
        let parse = |text: &str| text.parse().ok().filter(|n| (least..=most).contains(n));
        self.parsed(section, key, default, &accepted, parse)
    }

    /// Reads a time, such as `250ms`, `5s`, `2m` or `1h`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quillcove::config::ini::SettingSource;
    ///
    /// let mut source = SettingSource::read("a.ini", "[a]\nb = 250ms\n", &[]);
    /// assert_eq!(source.time("a", "b", Duration::ZERO), Duration::from_millis(250));
    /// ```
    pub fn time(&mut self, section: &str, key: &str, default: Duration) -> Duration {
        let accepted = "a time such as 250ms, 2.5s, 2m or 1h";
        let parse =
            |text: &str| humantime::parse_duration(text).ok().or_else(|| fractional_time(text));
        self.parsed(section, key, default, accepted, parse)
    }

    /// Reads `yes` or `no`.
    ///
    /// ```
    /// use quillcove::config::ini::SettingSource;
    ///
    /// assert!(SettingSource::read("a.ini", "[a]\nb = yes\n", &[]).flag("a", "b", false));
    /// ```
    pub fn flag(&mut self, section: &str, key: &str, default: bool) -> bool {
        self.choice(section, key, default, &[("yes", true), ("no", false)])
    }

    /// Reads one of several words.
    ///
    /// ```
    /// use quillcove::config::ini::SettingSource;
    ///
    /// let mut source = SettingSource::read("a.ini", "[a]\nb = two\n", &[]);
    /// assert_eq!(source.choice("a", "b", 1, &[("one", 1), ("two", 2)]), 2);
    /// ```
    pub fn choice<T: Copy>(
        &mut self,
        section: &str,
        key: &str,
        default: T,
        words: &[(&str, T)],
    ) -> T {
        let names: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
        let accepted = format!("one of: {}", names.join(", "));
        let parse =
            |text: &str| words.iter().find(|(word, _)| *word == text).map(|(_, value)| *value);
        self.parsed(section, key, default, &accepted, parse)
    }

    /// Reads a list separated by commas.
    ///
    /// ```
    /// use quillcove::config::ini::SettingSource;
    ///
    /// let mut source = SettingSource::read("a.ini", "[a]\nb = x, y\n", &[]);
    /// assert_eq!(source.list("a", "b"), ["x", "y"]);
    /// ```
    pub fn list(&mut self, section: &str, key: &str) -> Vec<String> {
        let text = self.text(section, key, "");
        let items = text.split(',').map(str::trim).filter(|item| !item.is_empty());
        items.map(String::from).collect()
    }

    /// Adds a fault found by a check over several values.
    ///
    /// ```
    /// use quillcove::config::ini::SettingSource;
    ///
    /// let mut source = SettingSource::read("a.ini", "", &[]);
    /// source.reject("a", "b", "does not go with a.c");
    /// assert!(source.finish().is_err());
    /// ```
    pub fn reject(&mut self, section: &str, key: &str, message: &str) {
        let found = self.find(section, key);
        let origin = found.as_ref().map_or(self.file.clone(), |setting| setting.origin.clone());
        self.faults.push(SettingFault {
            origin,
            line: found.and_then(|setting| setting.line),
            key: format!("{section}.{key}"),
            message: message.to_string(),
        });
    }

    /// Ends the reading: all faults, unknown sections and keys among them.
    ///
    /// # Errors
    ///
    /// [`SettingFaults`] in the order of the lines.
    ///
    /// ```
    /// use quillcove::config::ini::SettingSource;
    ///
    /// let mut source = SettingSource::read("a.ini", "[process]\nhots = e1\n", &[]);
    /// source.text("process", "host", "");
    /// let faults = source.finish().unwrap_err();
    /// assert!(faults.to_string().contains("did you mean 'host'"));
    /// ```
    pub fn finish(mut self) -> Result<(), SettingFaults> {
        let unknown: Vec<SettingFault> =
            self.settings.iter().filter_map(|s| self.unknown(s)).collect();
        self.faults.extend(unknown);
        let sections: Vec<SettingFault> = self.unknown_sections();
        self.faults.extend(sections);
        self.faults.sort_by_key(|fault| fault.line);
        match self.faults.is_empty() {
            true => Ok(()),
            false => Err(SettingFaults(self.faults)),
        }
    }

    fn unknown(&self, setting: &RawSetting) -> Option<SettingFault> {
        let place = (setting.section.clone(), setting.key.clone());
        if self.known.contains(&place) || !self.known_sections.contains(&setting.section) {
            return None;
        }
        let keys = self.known.iter().filter(|(section, _)| *section == setting.section);
        let keys: Vec<&str> = keys.map(|(_, key)| key.as_str()).collect();
        Some(SettingFault {
            origin: setting.origin.clone(),
            line: setting.line,
            key: format!("{}.{}", setting.section, setting.key),
            message: format!("is unknown; {}", suggest(&setting.key, &keys)),
        })
    }

    fn unknown_sections(&self) -> Vec<SettingFault> {
        let names: Vec<&str> = self.known_sections.iter().map(String::as_str).collect();
        let unknown = self.sections.iter().filter(|(name, _)| !self.known_sections.contains(name));
        let fault = |(name, line): &(String, usize)| SettingFault {
            origin: self.file.clone(),
            line: Some(*line),
            key: format!("[{name}]"),
            message: format!("is unknown; {}", suggest(name, &names)),
        };
        unknown.map(fault).collect()
    }
}

fn suggest(found: &str, known: &[&str]) -> String {
    let similarity = |name: &&&str| strsim::jaro_winkler(found, name);
    let best = known.iter().max_by(|a, b| similarity(a).total_cmp(&similarity(b)));
    match best.filter(|name| similarity(name) >= NEAR_MISS) {
        Some(name) => format!("did you mean '{name}'?"),
        None => format!("known are: {}", known.join(", ")),
    }
}

fn section_name(line: &str) -> Option<&str> {
    line.trim().strip_prefix('[')?.split(']').next().map(str::trim)
}

/// A time with a fraction, such as `2.5s`, which the library for whole ones does not take.
fn fractional_time(text: &str) -> Option<Duration> {
    let unit_at = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (number, unit) = text.split_at(unit_at);
    let seconds = match unit.trim() {
        "ms" => 0.001,
        "s" => 1.0,
        "m" => 60.0,
        "h" => 3600.0,
        _ => return None,
    };
    let number: f64 = number.parse().ok()?;
    Duration::try_from_secs_f64(number * seconds).ok()
}

/// Lines on which each key of each section stands; the parser itself does not tell.
fn locate_lines(text: &str) -> Vec<((String, String), usize)> {
    let mut section = String::new();
    let mut places = Vec::new();
    for (number, line) in text.lines().enumerate() {
        if let Some(name) = section_name(line) {
            section = name.to_string();
        } else if let Some((key, _)) = line.split_once(['=', ':']) {
            places.push(((section.clone(), key.trim().to_string()), number + 1));
        }
    }
    places
}
