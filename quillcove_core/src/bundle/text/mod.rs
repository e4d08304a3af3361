//! Reading the bundle's text. The text is TOML; each error names line, column and field.

mod routes;

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;

use serde::Deserialize;
use toml::Spanned;

use self::routes::RawRoute;
use super::{AdapterEntry, AimWeights, BodyLimits, FleetBundle, LoadLimits, ServiceEntry};
use crate::adapter::is_valid_name;
use crate::ids::{AdapterVersion, BundleVersion, HostId};

/// Highest accepted priority.
pub const PRIORITY_LIMIT: u8 = 9;

/// One fault in a bundle's text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {message}")]
pub struct TextError {
    /// Line, counted from 1.
    pub line: usize,
    /// What was found and what is accepted, with the field's name.
    pub message: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawBundle {
    bundle: RawHeader,
    #[serde(default)]
    loads: Option<Spanned<LoadLimits>>,
    #[serde(default)]
    models: BTreeMap<Spanned<String>, RawModel>,
    #[serde(default)]
    services: BTreeMap<Spanned<String>, RawService>,
    #[serde(default)]
    adapters: BTreeMap<Spanned<String>, RawAdapter>,
    #[serde(default)]
    routes: BTreeMap<Spanned<String>, RawRoute>,
    #[serde(default)]
    limits: Option<Spanned<BodyLimits>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawHeader {
    version: Spanned<BundleVersion>,
    #[serde(default = "default_weight")]
    stall_weight: f64,
    #[serde(default = "default_weight")]
    batch_weight: f64,
}

fn default_weight() -> f64 {
    1.0
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawModel {}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawService {
    #[serde(default)]
    replicas: Vec<Spanned<HostId>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawAdapter {
    model: Spanned<String>,
    current: AdapterVersion,
    #[serde(default)]
    keep: Vec<AdapterVersion>,
    #[serde(default)]
    priority: Option<Spanned<u8>>,
}

/// Reads and checks a bundle.
///
/// # Errors
///
/// All faults of a text that is well-formed TOML, or the first one of a text that is not.
///
/// ```
/// use quillcove_core::bundle::text::parse;
///
/// let errors = parse("[bundle]\nversion = 1\n[adapters]\na = { model = \"b\", current = 1 }\n")
///     .unwrap_err();
/// assert_eq!(errors[0].line, 4);
/// ```
pub fn parse(text: &str) -> Result<FleetBundle, Vec<TextError>> {
    let raw: RawBundle = toml::from_str(text).map_err(|error| vec![syntax_error(text, &error)])?;
    let mut check = TextCheck { text, errors: Vec::new() };
    check.header(&raw.bundle);
    check.loads(raw.loads.as_ref());
    check.limits(raw.limits.as_ref());
    let bundle = FleetBundle {
        version: *raw.bundle.version.get_ref(),
        aims: AimWeights { stalls: raw.bundle.stall_weight, batches: raw.bundle.batch_weight },
        loads: raw.loads.as_ref().map(|loads| *loads.get_ref()).unwrap_or_default(),
        models: check.models(&raw.models),
        services: check.services(&raw.services),
        adapters: check.adapters(&raw),
        routes: check.routes(&raw),
        limits: raw.limits.as_ref().map(|limits| *limits.get_ref()).unwrap_or_default(),
    };
    match check.errors.is_empty() {
        true => Ok(bundle),
        false => Err(check.sorted()),
    }
}

fn syntax_error(text: &str, error: &toml::de::Error) -> TextError {
    let line = error.span().map_or(1, |span| line_at(text, span.start));
    TextError { line, message: error.message().to_string() }
}

fn line_at(text: &str, offset: usize) -> usize {
    let end = offset.min(text.len());
    text.as_bytes()[..end].iter().filter(|byte| **byte == b'\n').count() + 1
}

/// Collects faults while the parts of a bundle are converted.
struct TextCheck<'a> {
    text: &'a str,
    errors: Vec<TextError>,
}

impl TextCheck<'_> {
    fn fault(&mut self, span: Range<usize>, message: String) {
        self.errors.push(TextError { line: line_at(self.text, span.start), message });
    }

    fn sorted(mut self) -> Vec<TextError> {
        self.errors.sort_by_key(|error| error.line);
        self.errors
    }

    fn header(&mut self, header: &RawHeader) {
        if *header.version.get_ref() == 0 {
            let message = "bundle.version is 0; it starts at 1".to_string();
            self.fault(header.version.span(), message);
        }
        let weights =
            [("stall_weight", header.stall_weight), ("batch_weight", header.batch_weight)];
        for (field, weight) in weights {
            if !weight.is_finite() || weight < 0.0 {
                let message = format!("bundle.{field} is {weight}; it is a number from 0 up");
                self.fault(header.version.span(), message);
            }
        }
    }

    fn loads(&mut self, loads: Option<&Spanned<LoadLimits>>) {
        let Some(loads) = loads else { return };
        let limits = loads.get_ref();
        if !limits.per_second.is_finite() || limits.per_second <= 0.0 {
            let message = format!("loads.per_second is {}; it is above 0", limits.per_second);
            self.fault(loads.span(), message);
        }
        if limits.at_once == 0 {
            self.fault(loads.span(), "loads.at_once is 0; it is 1 or more".to_string());
        }
    }

    fn limits(&mut self, limits: Option<&Spanned<BodyLimits>>) {
        let Some(limits) = limits else { return };
        let BodyLimits { body_bytes, body_time_ms } = *limits.get_ref();
        if body_bytes == 0 || body_time_ms == 0 {
            let message = "limits.body_bytes and limits.body_time_ms are above 0".to_string();
            self.fault(limits.span(), message);
        }
    }

    fn name(&mut self, section: &str, name: &Spanned<String>) {
        if !is_valid_name(name.get_ref()) {
            let message = format!(
                "{section}.{}: a name has 1 to {} letters, digits, dots, dashes or underscores",
                name.get_ref(),
                crate::adapter::NAME_LIMIT
            );
            self.fault(name.span(), message);
        }
    }

    fn models(&mut self, models: &BTreeMap<Spanned<String>, RawModel>) -> Vec<String> {
        for name in models.keys() {
            self.name("models", name);
        }
        models.keys().map(|name| name.get_ref().clone()).collect()
    }

    fn services(
        &mut self,
        services: &BTreeMap<Spanned<String>, RawService>,
    ) -> BTreeMap<String, ServiceEntry> {
        let mut checked = BTreeMap::new();
        for (name, service) in services {
            self.name("services", name);
            for replica in &service.replicas {
                self.name(&format!("services.{}.replicas", name.get_ref()), replica);
            }
            let replicas = service.replicas.iter().map(|host| host.get_ref().clone()).collect();
            checked.insert(name.get_ref().clone(), ServiceEntry { replicas });
        }
        checked
    }

    fn adapters(&mut self, raw: &RawBundle) -> BTreeMap<Arc<str>, AdapterEntry> {
        let mut checked = BTreeMap::new();
        for (name, adapter) in &raw.adapters {
            self.name("adapters", name);
            self.adapter(raw, name.get_ref(), adapter);
            let entry = AdapterEntry {
                model: adapter.model.get_ref().clone(),
                current: adapter.current,
                keep: adapter.keep.clone(),
                priority: adapter.priority.as_ref().map_or(0, |priority| *priority.get_ref()),
            };
            checked.insert(Arc::from(name.get_ref().as_str()), entry);
        }
        checked
    }

    fn adapter(&mut self, raw: &RawBundle, name: &str, adapter: &RawAdapter) {
        let model = adapter.model.get_ref();
        if !raw.models.keys().any(|known| known.get_ref() == model) {
            let message =
                format!("adapters.{name}.model is '{model}', which [models] does not list");
            self.fault(adapter.model.span(), message);
        }
        if let Some(priority) = &adapter.priority
            && *priority.get_ref() > PRIORITY_LIMIT
        {
            let message = format!(
                "adapters.{name}.priority is {}; it is 0 to {PRIORITY_LIMIT}",
                priority.get_ref()
            );
            self.fault(priority.span(), message);
        }
    }
}
