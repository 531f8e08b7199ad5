//! What a router keeps of itself, and its form in the store.

use crate::{Moment, AHEAD};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Marks of deduplicated requests that are kept; the oldest go first.
pub const MAX_MARKS: usize = 4096;
/// Further attempts that are kept; the oldest go first.
const MAX_REPEATS: usize = 4096;
/// Engines in slow start that are kept.
const MAX_COLD: usize = 1024;

/// The numbers of the pieces in the store.
pub(crate) const BUDGET: u32 = 1;
pub(crate) const COLD: u32 = 2;
pub(crate) const MARKS: u32 = 3;

/// Pieces by their numbers, as a store keeps them.
pub type Pieces = BTreeMap<u32, Vec<u8>>;

/// Work that was sent to an engine in slow start within its window. The order of the fields is the format of the store.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sent {
    /// A hash of the engine's name.
    pub name: u64,
    /// The incarnation of the engine.
    pub incarnation: u32,
    /// How much was sent, in seconds of work.
    pub work: f64,
}

/// What is kept, as of a moment. Times are ages in seconds at that moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Kept {
    /// The moment.
    pub at: Moment,
    /// The further attempts of late, each by its age.
    pub repeats: Vec<f64>,
    /// How many further attempts may have been made since.
    pub ahead: u32,
    /// The engines in slow start.
    pub cold: Vec<Sent>,
    /// The deduplicated requests that were dispatched and may have run: a hash of the key, and the age of the first attempt.
    pub marks: Vec<(u64, f64)>,
}

impl Kept {
    /// The pieces to be put in the store. What is too much is left out, the oldest first.
    pub fn write(&self) -> Pieces {
        let repeats = newest(&self.repeats, MAX_REPEATS);
        let cold = &self.cold[..self.cold.len().min(MAX_COLD)];
        let marks = newest(&self.marks, MAX_MARKS);
        BTreeMap::from([
            (BUDGET, encode(&(self.at, repeats, self.ahead))),
            (COLD, encode(&cold)),
            (MARKS, encode(&marks)),
        ])
    }

    /// Reads the pieces of a store; `None` where one is missing, or holds what no router of this version writes.
    pub fn read(pieces: &Pieces) -> Option<Kept> {
        let (at, repeats, ahead) = decode(pieces.get(&BUDGET)?)?;
        let cold = decode(pieces.get(&COLD)?)?;
        let marks = decode(pieces.get(&MARKS)?)?;
        let kept = Kept { at, repeats, ahead, cold, marks };
        kept.is_sound().then_some(kept)
    }

    /// Within all bounds, and without an age that can't be.
    fn is_sound(&self) -> bool {
        let age = |age: f64| age.is_finite() && age >= 0.0;
        self.repeats.len() <= MAX_REPEATS
            && self.cold.len() <= MAX_COLD
            && self.marks.len() <= MAX_MARKS
            && self.ahead <= AHEAD
            && self.at.steady.is_finite()
            && self.at.unix.is_finite()
            && self.repeats.iter().all(|repeat| age(*repeat))
            && self.cold.iter().all(|sent| age(sent.work))
            && self.marks.iter().all(|(_, since)| age(*since))
    }
}

/// The last of them, at most so many.
fn newest<T>(all: &[T], most: usize) -> &[T] {
    &all[all.len().saturating_sub(most)..]
}

/// Nothing for what can't be encoded, which is read as unsound.
fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_extend(value, Vec::new()).unwrap_or_default()
}

/// `None` for bytes that are no such value, or more than one.
fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (value, rest) = postcard::take_from_bytes(bytes).ok()?;
    rest.is_empty().then_some(value)
}
