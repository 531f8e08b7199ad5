//! The names behind the small indices, and their hashes.

/// The names behind the small indices, and the columns of load reports.
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
    /// Columns of engines' load reports.
    pub columns: Vec<String>,
}

/// FNV-1a, 64 bit: its offset basis and prime.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// A hash of a name, the same at every gateway and in every build (FNV-1a).
pub fn name_hash(text: &str) -> u64 {
    text.bytes().fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}

/// The index of a name, which joins the list if it is new.
pub fn index_of(names: &mut Vec<String>, name: &str) -> usize {
    names.iter().position(|known| known == name).unwrap_or_else(|| {
        names.push(name.to_string());
        names.len() - 1
    })
}
