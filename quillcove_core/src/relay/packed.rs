//! The form in which an engine's report goes over the wire.
//!
//! Adapters name their base model by its place in a list of names, which halves a report of fourteen
//! adapters. What only the loader beside the engine needs is not sent: the time of its start, the count of orders and the
//! tokens in memory.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use super::beacon::{AdapterKey, EngineReport, HeldAdapter};
use crate::ids::{AdapterName, AdapterVersion, ModelName};

/// Place of a base model's name in [`PackedReport::names`].
type ModelPlace = u16;

#[derive(Serialize, Deserialize)]
struct PackedAdapter {
    model: ModelPlace,
    adapter: AdapterName,
    version: AdapterVersion,
}

#[derive(Default, Serialize, Deserialize)]
struct PackedReport {
    /// Base models that the rest names.
    names: Vec<ModelName>,
    models: Vec<ModelPlace>,
    local_models: Vec<ModelPlace>,
    adapters: Vec<PackedAdapter>,
    incoming: Vec<PackedAdapter>,
    is_busy: bool,
    is_leaving: bool,
    running: u32,
    waiting: u32,
}

impl PackedReport {
    fn pack(report: &EngineReport) -> Self {
        let mut packed = Self {
            is_busy: report.is_busy,
            is_leaving: report.is_leaving,
            running: report.running,
            waiting: report.waiting,
            ..Self::default()
        };
        packed.models = report.models.iter().map(|name| packed.place_of(name)).collect();
        packed.local_models =
            report.local_models.iter().map(|name| packed.place_of(name)).collect();
        packed.adapters = report.adapters.iter().map(|held| packed.adapter(held)).collect();
        packed.incoming = report.incoming.iter().map(|held| packed.adapter(held)).collect();
        packed
    }

    fn place_of(&mut self, name: &ModelName) -> ModelPlace {
        let place = self.names.iter().position(|known| known == name);
        let place = place.unwrap_or_else(|| {
            self.names.push(name.clone());
            self.names.len() - 1
        });
        place as ModelPlace
    }

    fn adapter(&mut self, held: &HeldAdapter) -> PackedAdapter {
        PackedAdapter {
            model: self.place_of(&held.key.model),
            adapter: held.key.adapter.clone(),
            version: held.version,
        }
    }

    /// The report again; `None` when a place has no name.
    fn unpack(self) -> Option<EngineReport> {
        let Self { names, models, local_models, adapters, incoming, .. } = self;
        let Self { is_busy, is_leaving, running, waiting, .. } = self;
        let name = |place: ModelPlace| names.get(usize::from(place)).cloned();
        let held = |packed: PackedAdapter| {
            let key = AdapterKey { model: name(packed.model)?, adapter: packed.adapter };
            Some(HeldAdapter { key, version: packed.version })
        };
        Some(EngineReport {
            born: None,
            models: models.into_iter().map(name).collect::<Option<_>>()?,
            local_models: local_models.into_iter().map(name).collect::<Option<_>>()?,
            adapters: adapters.into_iter().map(held).collect::<Option<_>>()?,
            incoming: incoming.into_iter().map(held).collect::<Option<_>>()?,
            is_busy,
            is_leaving,
            running,
            waiting,
            ..EngineReport::default()
        })
    }
}

pub(super) fn serialize<S: Serializer>(
    report: &EngineReport,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    PackedReport::pack(report).serialize(serializer)
}

pub(super) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<EngineReport, D::Error> {
    let packed = PackedReport::deserialize(deserializer)?;
    packed.unpack().ok_or_else(|| de::Error::custom("a base model without a name"))
}
