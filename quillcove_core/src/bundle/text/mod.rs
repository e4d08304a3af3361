//! Parsing and validation of a bundle's text, which is TOML. Each error names the line and, for an
//! invalid value, the field.

mod routes;

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;

use serde::Deserialize;
use toml::Spanned;

use self::routes::RawRoute;
use super::{AdapterEntry, BodyLimits, FleetBundle, GoalWeights, LoadLimits, ServiceEntry};
use crate::adapter::is_valid_name;
use crate::ids::{AdapterVersion, BundleVersion, HostId};

/// Highest priority of an adapter.
pub const PRIORITY_LIMIT: u8 = 9;

/// An error in a bundle's text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {message}")]
pub struct TextError {
    /// Line, counted from 1.
    pub line: usize,
    /// Name of the field, the value found and the values accepted.
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

/// Parses and validates a bundle.
///
/// # Errors
///
/// Returns all errors in the values of a text that has the form of a bundle, or the first syntax
/// error of one that has not.
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
    let mut validator = TextValidator { text, errors: Vec::new() };
    validator.validate_header(&raw.bundle);
    validator.validate_loads(raw.loads.as_ref());
    validator.validate_limits(raw.limits.as_ref());
    let bundle = FleetBundle {
        version: *raw.bundle.version.get_ref(),
        goal_weights: GoalWeights {
            stalls: raw.bundle.stall_weight,
            batches: raw.bundle.batch_weight,
        },
        loads: raw.loads.as_ref().map(|loads| *loads.get_ref()).unwrap_or_default(),
        models: validator.convert_models(&raw.models),
        services: validator.convert_services(&raw.services),
        adapters: validator.convert_adapters(&raw),
        routes: validator.convert_routes(&raw),
        limits: raw.limits.as_ref().map(|limits| *limits.get_ref()).unwrap_or_default(),
    };
    match validator.errors.is_empty() {
        true => Ok(bundle),
        false => Err(validator.into_sorted_errors()),
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

/// Collects errors while the sections of a bundle are validated and converted.
struct TextValidator<'a> {
    text: &'a str,
    errors: Vec<TextError>,
}

impl TextValidator<'_> {
    fn add_error(&mut self, span: Range<usize>, message: String) {
        self.errors.push(TextError { line: line_at(self.text, span.start), message });
    }

    fn into_sorted_errors(mut self) -> Vec<TextError> {
        self.errors.sort_by_key(|error| error.line);
        self.errors
    }

    fn validate_header(&mut self, header: &RawHeader) {
        if *header.version.get_ref() == 0 {
            let message = "bundle.version is 0; it starts at 1".to_string();
            self.add_error(header.version.span(), message);
        }
        let weights =
            [("stall_weight", header.stall_weight), ("batch_weight", header.batch_weight)];
        for (field, weight) in weights {
            if !weight.is_finite() || weight < 0.0 {
                let message = format!("bundle.{field} is {weight}; it is a number from 0 up");
                self.add_error(header.version.span(), message);
            }
        }
    }

    fn validate_loads(&mut self, loads: Option<&Spanned<LoadLimits>>) {
        let Some(loads) = loads else { return };
        let limits = loads.get_ref();
        if !limits.per_second.is_finite() || limits.per_second <= 0.0 {
            let message = format!("loads.per_second is {}; it is above 0", limits.per_second);
            self.add_error(loads.span(), message);
        }
        if limits.at_once == 0 {
            self.add_error(loads.span(), "loads.at_once is 0; it is 1 or more".to_string());
        }
    }

    fn validate_limits(&mut self, limits: Option<&Spanned<BodyLimits>>) {
        let Some(limits) = limits else { return };
        let BodyLimits { body_bytes, body_time_ms } = *limits.get_ref();
        if body_bytes == 0 || body_time_ms == 0 {
            let message = "limits.body_bytes and limits.body_time_ms are above 0".to_string();
            self.add_error(limits.span(), message);
        }
    }

    fn validate_name(&mut self, section: &str, name: &Spanned<String>) {
        if !is_valid_name(name.get_ref()) {
            let message = format!(
                "{section}.{}: a name has 1 to {} letters, digits, dots, dashes or underscores",
                name.get_ref(),
                crate::adapter::NAME_LIMIT
            );
            self.add_error(name.span(), message);
        }
    }

    fn convert_models(&mut self, models: &BTreeMap<Spanned<String>, RawModel>) -> Vec<String> {
        for name in models.keys() {
            self.validate_name("models", name);
        }
        models.keys().map(|name| name.get_ref().clone()).collect()
    }

    fn convert_services(
        &mut self,
        services: &BTreeMap<Spanned<String>, RawService>,
    ) -> BTreeMap<String, ServiceEntry> {
        let mut validated = BTreeMap::new();
        for (name, service) in services {
            self.validate_name("services", name);
            for replica in &service.replicas {
                self.validate_name(&format!("services.{}.replicas", name.get_ref()), replica);
            }
            let replicas = service.replicas.iter().map(|host| host.get_ref().clone()).collect();
            validated.insert(name.get_ref().clone(), ServiceEntry { replicas });
        }
        validated
    }

    fn convert_adapters(&mut self, raw: &RawBundle) -> BTreeMap<Arc<str>, AdapterEntry> {
        let mut validated = BTreeMap::new();
        for (name, adapter) in &raw.adapters {
            self.validate_name("adapters", name);
            self.validate_adapter(raw, name.get_ref(), adapter);
            let entry = AdapterEntry {
                model: adapter.model.get_ref().clone(),
                current: adapter.current,
                keep: adapter.keep.clone(),
                priority: adapter.priority.as_ref().map_or(0, |priority| *priority.get_ref()),
            };
            validated.insert(Arc::from(name.get_ref().as_str()), entry);
        }
        validated
    }

    fn validate_adapter(&mut self, raw: &RawBundle, name: &str, adapter: &RawAdapter) {
        let model = adapter.model.get_ref();
        if !raw.models.keys().any(|known| known.get_ref() == model) {
            let message =
                format!("adapters.{name}.model is '{model}', which [models] does not list");
            self.add_error(adapter.model.span(), message);
        }
        if let Some(priority) = &adapter.priority
            && *priority.get_ref() > PRIORITY_LIMIT
        {
            let message = format!(
                "adapters.{name}.priority is {}; it is 0 to {PRIORITY_LIMIT}",
                priority.get_ref()
            );
            self.add_error(priority.span(), message);
        }
    }
}
