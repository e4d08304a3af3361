//! Wire format of an engine's report.
//!
//! Adapters refer to their base model by an index into a list of names, which halves the size of a report
//! of fourteen adapters. Fields that only the loader of the engine needs are not sent: the start time, the
//! count of orders, the requests being processed and the tokens in memory.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use super::beacon::{EngineReport, HeldAdapter};
use crate::ids::{AdapterKey, AdapterName, AdapterVersion, ModelName};

/// Index of a base model's name in [`PackedReport::names`].
type ModelIndex = u16;

#[derive(Serialize, Deserialize)]
struct PackedAdapter {
    model: ModelIndex,
    adapter: AdapterName,
    version: AdapterVersion,
}

#[derive(Default, Serialize, Deserialize)]
struct PackedReport {
    /// Names of the base models to which the other fields refer.
    names: Vec<ModelName>,
    models: Vec<ModelIndex>,
    local_models: Vec<ModelIndex>,
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
        packed.models = report.models.iter().map(|name| packed.index_of(name)).collect();
        packed.local_models =
            report.local_models.iter().map(|name| packed.index_of(name)).collect();
        packed.adapters = report.adapters.iter().map(|held| packed.pack_adapter(held)).collect();
        packed.incoming = report.incoming.iter().map(|held| packed.pack_adapter(held)).collect();
        packed
    }

    fn index_of(&mut self, name: &ModelName) -> ModelIndex {
        let index = self.names.iter().position(|known| known == name);
        let index = index.unwrap_or_else(|| {
            self.names.push(name.clone());
            self.names.len() - 1
        });
        index as ModelIndex
    }

    fn pack_adapter(&mut self, held: &HeldAdapter) -> PackedAdapter {
        PackedAdapter {
            model: self.index_of(&held.key.model),
            adapter: held.key.adapter.clone(),
            version: held.version,
        }
    }

    /// Restores the report; `None` if an index is out of range.
    fn unpack(self) -> Option<EngineReport> {
        let Self { names, models, local_models, adapters, incoming, .. } = self;
        let Self { is_busy, is_leaving, running, waiting, .. } = self;
        let name = |index: ModelIndex| names.get(usize::from(index)).cloned();
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
    packed
        .unpack()
        .ok_or_else(|| de::Error::custom("base model index out of range in a packed engine report"))
}
