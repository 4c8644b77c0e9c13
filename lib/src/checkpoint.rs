//! Checkpoints: a stream's state as of an offset, written to the stream in parts.

use indexmap::IndexMap;
use serde::Serialize;
use serde::de::DeserializeOwned;
use xxhash_rust::xxh3::xxh3_64;

use crate::CheckpointPart;
use crate::Offset;

/// Size of one part, in bytes of JSON text.
const PART_BYTES: usize = 256 * 1024;

/// Unfinished checkpoints that an [`Assembler`] keeps.
const UNFINISHED_KEPT: usize = 4;

/// Splits a state into the parts of a checkpoint.
///
/// # Errors
///
/// Fails when the state cannot be serialised.
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

/// Cuts a text into slices of at most [`PART_BYTES`] at character boundaries.
fn slices(text: &str) -> Vec<&str> {
    let mut slices = Vec::new();
    let mut rest = text;
    while rest.len() > PART_BYTES {
        let (slice, tail) = rest.split_at(rest.floor_char_boundary(PART_BYTES));
        slices.push(slice);
        rest = tail;
    }
    slices.push(rest);
    slices
}

/// Puts the parts of checkpoints together again.
///
/// Parts of several writers may be interleaved; a checkpoint with a missing part or a wrong
/// hash is never returned.
#[derive(Debug, Default)]
pub struct Assembler {
    unfinished: IndexMap<(Offset, u64), Vec<Option<String>>>,
}

impl Assembler {
    /// Takes one part and returns the state once its checkpoint is whole.
    pub fn add<T>(&mut self, part: &CheckpointPart) -> Option<T>
    where
        T: DeserializeOwned,
    {
        let key = (part.as_of, part.hash);
        let count = part.count as usize;
        let slots = self
            .unfinished
            .entry(key)
            .or_insert_with(|| vec![None; count]);
        *slots.get_mut(part.index as usize)? = Some(part.data.clone());
        let whole: Option<Vec<&str>> = slots.iter().map(Option::as_deref).collect();
        let text = whole.map(|slices| slices.concat());
        self.drop_oldest();
        let text = text?;
        self.unfinished.shift_remove(&key);
        if xxh3_64(text.as_bytes()) != part.hash {
            tracing::warn!(as_of = %part.as_of, "a checkpoint's hash does not match");
            return None;
        }
        serde_json::from_str(&text).ok()
    }

    fn drop_oldest(&mut self) {
        if self.unfinished.len() > UNFINISHED_KEPT {
            self.unfinished.shift_remove_index(0);
        }
    }
}
