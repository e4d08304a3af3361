//! Differences between two bundles, by lines. A difference needs no trust of its own: the
//! receiver rebuilds the exact bytes and checks the signature over them.

use serde::{Deserialize, Serialize};
use similar::{DiffOp, TextDiff};

use crate::ids::BundleVersion;

/// One step of rebuilding the newer text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DeltaStep {
    /// Take this many bytes of the older text, from this offset on.
    Copy {
        /// Offset in bytes.
        offset: usize,
        /// Length in bytes.
        length: usize,
    },
    /// Take this text.
    Insert(String),
}

/// How to turn one bundle's text into another's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleDelta {
    /// Version of the older text.
    pub from: BundleVersion,
    /// Version of the newer text.
    pub to: BundleVersion,
    /// SHA-256 of the older text, in hex.
    pub base_digest: String,
    /// Steps in order.
    pub steps: Vec<DeltaStep>,
}

/// Why a difference does not fit.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    /// It starts from another text.
    #[error("the difference starts from another text than the one in force")]
    OtherBase,
    /// A step reaches outside the older text.
    #[error("a step of the difference reaches outside the older text")]
    OutOfRange,
    /// The result would be larger than a bundle may be.
    #[error("the difference makes a text larger than a bundle may be")]
    TooLarge,
}

/// Computes the difference between two texts.
///
/// ```
/// use quillcove_core::bundle::delta::{apply, compute};
///
/// let delta = compute((1, "a\nb\n"), (2, "a\nc\n"));
/// assert_eq!(apply(&delta, "a\nb\n").unwrap(), "a\nc\n");
/// ```
pub fn compute(older: (BundleVersion, &str), newer: (BundleVersion, &str)) -> BundleDelta {
    let old_lines: Vec<&str> = older.1.split_inclusive('\n').collect();
    let new_lines: Vec<&str> = newer.1.split_inclusive('\n').collect();
    let diff = TextDiff::from_slices(&old_lines, &new_lines);
    let old_starts = line_starts(older.1);
    let new_starts = line_starts(newer.1);
    let mut steps = Vec::new();
    for op in diff.ops() {
        if let DiffOp::Equal { .. } = op {
            let range = op.old_range();
            let offset = old_starts[range.start];
            steps.push(DeltaStep::Copy { offset, length: old_starts[range.end] - offset });
            continue;
        }
        let range = op.new_range();
        if !range.is_empty() {
            let text = &newer.1[new_starts[range.start]..new_starts[range.end]];
            steps.push(DeltaStep::Insert(text.to_string()));
        }
    }
    BundleDelta {
        from: older.0,
        to: newer.0,
        base_digest: super::signing::digest(older.1.as_bytes()),
        steps,
    }
}

/// Offsets at which lines start, with the text's length at the end.
fn line_starts(text: &str) -> Vec<usize> {
    let mut starts = vec![0];
    for line in text.split_inclusive('\n') {
        starts.push(starts[starts.len() - 1] + line.len());
    }
    starts
}

/// Rebuilds the newer text.
///
/// # Errors
///
/// [`DeltaError`] when the difference does not belong to this text or does not fit it.
///
/// ```
/// use quillcove_core::bundle::delta::{DeltaError, apply, compute};
///
/// let delta = compute((1, "a\n"), (2, "b\n"));
/// assert_eq!(apply(&delta, "other\n"), Err(DeltaError::OtherBase));
/// ```
pub fn apply(delta: &BundleDelta, older: &str) -> Result<String, DeltaError> {
    if super::signing::digest(older.as_bytes()) != delta.base_digest {
        return Err(DeltaError::OtherBase);
    }
    let mut newer = String::with_capacity(older.len());
    for step in &delta.steps {
        match step {
            DeltaStep::Copy { offset, length } => {
                let end = offset.checked_add(*length).ok_or(DeltaError::OutOfRange)?;
                newer.push_str(older.get(*offset..end).ok_or(DeltaError::OutOfRange)?);
            },
            DeltaStep::Insert(text) => newer.push_str(text),
        }
        if newer.len() > super::VALUE_LIMIT {
            return Err(DeltaError::TooLarge);
        }
    }
    Ok(newer)
}
