//! Line-based deltas between the texts of two bundles. A delta is not signed itself: the receiver
//! rebuilds the exact bytes of the newer text and verifies the signature over them.

use serde::{Deserialize, Serialize};
use similar::{DiffOp, TextDiff};

use crate::ids::BundleVersion;

/// One step in rebuilding the newer text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DeltaStep {
    /// Copies a range of bytes from the older text.
    Copy {
        /// Start of the range in the older text, in bytes.
        offset: usize,
        /// Length of the range, in bytes.
        length: usize,
    },
    /// Inserts this text.
    Insert(String),
}

/// Steps that turn the text of one bundle into the text of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleDelta {
    /// Version of the older text.
    pub from: BundleVersion,
    /// Version of the newer text.
    pub to: BundleVersion,
    /// SHA-256 of the older text, in hex.
    pub base_digest: String,
    /// Steps, in the order in which they are applied.
    pub steps: Vec<DeltaStep>,
}

/// Error of applying a delta to a text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    /// The delta was computed from another text than the one given.
    #[error("the delta was computed from another text than the one it is applied to")]
    OtherBase,
    /// A step copies a range that is not within the older text.
    #[error("a step of the delta copies a range that is not within the older text")]
    OutOfRange,
    /// The rebuilt text exceeds [`VALUE_LIMIT`](super::VALUE_LIMIT).
    #[error("the text rebuilt from the delta exceeds the size limit of a bundle")]
    TooLarge,
}

/// Computes the delta from the older text to the newer one; each comes with its version.
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

/// Returns the offset of the start of each line, followed by the length of the text.
fn line_starts(text: &str) -> Vec<usize> {
    let mut starts = vec![0];
    for line in text.split_inclusive('\n') {
        starts.push(starts[starts.len() - 1] + line.len());
    }
    starts
}

/// Rebuilds the newer text from the older one.
///
/// # Errors
///
/// Returns [`DeltaError`] when the delta was computed from another text, copies a range that is not
/// within this one, or rebuilds a text that is too large.
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
