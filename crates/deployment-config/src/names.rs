//! The names that the indices of the decision module stand for, and hashes of names.

/// The names that indices stand for; the index of a name is its position in the list.
#[derive(Default)]
pub struct Names {
    /// Request classes.
    pub classes: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of engine.
    pub kinds: Vec<String>,
    /// Columns of the load reports of engines.
    pub columns: Vec<String>,
}

/// The offset basis and the prime of 64-bit FNV-1a.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The 64-bit FNV-1a hash of a name: it is the same at every gateway and in every build.
pub fn name_hash(text: &str) -> u64 {
    text.bytes().fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}

/// The index of a name in the list. A name that is not in the list yet is appended.
pub fn index_of(names: &mut Vec<String>, name: &str) -> usize {
    names.iter().position(|known| known == name).unwrap_or_else(|| {
        names.push(name.to_string());
        names.len() - 1
    })
}
