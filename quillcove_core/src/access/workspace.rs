//! The workspaces of one configuration, looked up by caller key.

use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::key::KeyDigest;
use super::limit::UseLimit;
use crate::ids::WorkspaceName;

/// One workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceRecord {
    /// Name, which upstreams receive in index of the key.
    pub name: WorkspaceName,
    /// Rank of its requests, which overrides the ranks of their routes; 0 is the most urgent.
    /// `None` leaves the routes' ranks.
    pub priority: Option<u8>,
    /// Usage limit; `None` for no limit.
    pub limit: Option<UseLimit>,
}

/// The configured workspaces, indexed by key and by name.
///
/// ```
/// use quillcove_core::access::key::KeyDigest;
/// use quillcove_core::access::workspace::{AccessTable, WorkspaceRecord};
///
/// let record = WorkspaceRecord { name: "w".into(), priority: None, limit: None };
/// let table = AccessTable::new(vec![(record, vec![KeyDigest::of("k1")])]);
/// assert_eq!(table.find(&KeyDigest::of("k1")).unwrap().name, "w");
/// assert!(table.find(&KeyDigest::of("k2")).is_none());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AccessTable {
    workspaces: Vec<Arc<WorkspaceRecord>>,
    /// Index into `workspaces` by key. The map's hash is seeded at random in each process.
    holders: HashMap<KeyDigest, usize>,
    /// Index into `workspaces` by name.
    names: HashMap<WorkspaceName, usize>,
}

impl AccessTable {
    /// Builds the table from workspaces and their keys. A key listed by two workspaces belongs to
    /// the later one.
    ///
    /// See [`AccessTable`] for an example.
    pub fn new(workspaces: Vec<(WorkspaceRecord, Vec<KeyDigest>)>) -> Self {
        let mut table = Self::default();
        for (record, keys) in workspaces {
            let index = table.workspaces.len();
            table.names.insert(record.name.clone(), index);
            table.workspaces.push(Arc::new(record));
            table.holders.extend(keys.into_iter().map(|key| (key, index)));
        }
        table
    }

    /// Returns the workspace that holds a key.
    ///
    /// See [`AccessTable`] for an example.
    pub fn find(&self, key: &KeyDigest) -> Option<&Arc<WorkspaceRecord>> {
        self.holders.get(key).and_then(|index| self.workspaces.get(*index))
    }

    /// Returns a workspace by its name.
    ///
    /// ```
    /// use quillcove_core::access::workspace::AccessTable;
    ///
    /// assert!(AccessTable::default().workspace("w").is_none());
    /// ```
    pub fn workspace(&self, name: &str) -> Option<&Arc<WorkspaceRecord>> {
        self.names.get(name).and_then(|index| self.workspaces.get(*index))
    }

    /// Returns all workspaces.
    ///
    /// ```
    /// use quillcove_core::access::workspace::AccessTable;
    ///
    /// assert_eq!(AccessTable::default().workspaces().count(), 0);
    /// ```
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<WorkspaceRecord>> {
        self.workspaces.iter()
    }
}
