//! The workspaces of one configuration, and whose key is whose.

use std::collections::HashMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::key::KeyDigest;
use super::limit::UseLimit;
use crate::ids::WorkspaceName;

/// One workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceRecord {
    /// Name; upstreams are told it in place of the key.
    pub name: WorkspaceName,
    /// Rank of its requests, 0 first, in place of their routes' ranks; `None` leaves these.
    pub priority: Option<u8>,
    /// What it may use; `None` for as much as it likes.
    pub limit: Option<UseLimit>,
}

/// The workspaces in force, found by their keys.
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
    /// Place of each key's workspace in the list. The map hashes with random numbers of this process.
    holders: HashMap<KeyDigest, usize>,
    /// Place of each workspace in the list, by its name.
    names: HashMap<WorkspaceName, usize>,
}

impl AccessTable {
    /// A table of workspaces with their keys. A key that two of them name belongs to the later one.
    ///
    /// See [`AccessTable`] for an example.
    pub fn new(workspaces: Vec<(WorkspaceRecord, Vec<KeyDigest>)>) -> Self {
        let mut table = Self::default();
        for (record, keys) in workspaces {
            let place = table.workspaces.len();
            table.names.insert(record.name.clone(), place);
            table.workspaces.push(Arc::new(record));
            table.holders.extend(keys.into_iter().map(|key| (key, place)));
        }
        table
    }

    /// The workspace that holds a key.
    ///
    /// See [`AccessTable`] for an example.
    pub fn find(&self, key: &KeyDigest) -> Option<&Arc<WorkspaceRecord>> {
        self.holders.get(key).and_then(|place| self.workspaces.get(*place))
    }

    /// A workspace by its name.
    ///
    /// ```
    /// use quillcove_core::access::workspace::AccessTable;
    ///
    /// assert!(AccessTable::default().workspace("w").is_none());
    /// ```
    pub fn workspace(&self, name: &str) -> Option<&Arc<WorkspaceRecord>> {
        self.names.get(name).and_then(|place| self.workspaces.get(*place))
    }

    /// All workspaces.
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
