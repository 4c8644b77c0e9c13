//! Checkpoints: the folded state of a stream up to an offset, written to the stream in parts.

use indexmap::IndexMap;
use serde::Serialize;
use serde::de::DeserializeOwned;
use xxhash_rust::xxh3::xxh3_64;

use crate::CheckpointPart;
use crate::Offset;

/// Maximum size of one part, in bytes of JSON text.
const MAX_PART_BYTES: usize = 256 * 1024;

/// Maximum number of incomplete checkpoints that a [`CheckpointAssembler`] holds.
const MAX_INCOMPLETE_CHECKPOINTS: usize = 4;

/// Serializes a state to JSON and splits it into the parts of a checkpoint.
///
/// `as_of` is the last offset that the state covers.
///
/// # Errors
///
/// Fails when the state cannot be serialized.
pub fn split_checkpoint<T>(
    state: &T,
    as_of: Offset,
) -> Result<Vec<CheckpointPart>, serde_json::Error>
where
    T: Serialize,
{
    let text = serde_json::to_string(state)?;
    let hash = xxh3_64(text.as_bytes());
    let slices = slices(&text);
    let count = u32::try_from(slices.len()).unwrap_or(u32::MAX);
    let parts = slices
        .into_iter()
        .zip(0..)
        .map(|(data, index)| CheckpointPart {
            as_of,
            hash,
            index,
            count,
            data: data.to_owned(),
        });
    Ok(parts.collect())
}

/// Splits a text into slices of at most [`MAX_PART_BYTES`] at character boundaries.
fn slices(text: &str) -> Vec<&str> {
    let mut slices = Vec::new();
    let mut rest = text;
    while rest.len() > MAX_PART_BYTES {
        let (slice, tail) = rest.split_at(rest.floor_char_boundary(MAX_PART_BYTES));
        slices.push(slice);
        rest = tail;
    }
    slices.push(rest);
    slices
}

/// Reassembles checkpoints from their parts.
///
/// Parts of several writers may be interleaved. A checkpoint with a missing part or a wrong
/// hash is never returned. The oldest incomplete checkpoint is evicted when there are too many.
#[derive(Debug, Default)]
pub struct CheckpointAssembler {
    incomplete: IndexMap<(Offset, u64), Vec<Option<String>>>,
}

impl CheckpointAssembler {
    /// Adds one part and returns the state once every part of its checkpoint has been added.
    ///
    /// Returns `None` as well when the hash does not match or the state cannot be deserialized.
    pub fn add<T>(&mut self, part: &CheckpointPart) -> Option<T>
    where
        T: DeserializeOwned,
    {
        let key = (part.as_of, part.hash);
        let count = part.count as usize;
        let slots = self
            .incomplete
            .entry(key)
            .or_insert_with(|| vec![None; count]);
        *slots.get_mut(part.index as usize)? = Some(part.data.clone());
        let parts: Option<Vec<&str>> = slots.iter().map(Option::as_deref).collect();
        let text = parts.map(|parts| parts.concat());
        self.evict_oldest();
        let text = text?;
        self.incomplete.shift_remove(&key);
        if xxh3_64(text.as_bytes()) != part.hash {
            tracing::warn!(as_of = %part.as_of, "discarding a checkpoint with a wrong hash");
            return None;
        }
        serde_json::from_str(&text).ok()
    }

    fn evict_oldest(&mut self) {
        if self.incomplete.len() > MAX_INCOMPLETE_CHECKPOINTS {
            self.incomplete.shift_remove_index(0);
        }
    }
}
