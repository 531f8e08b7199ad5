//! Reads and writes one snapshot in the storage engine, each in a single transaction.

use crate::error::{QuarantineReason, StoreError};
use crate::format::{read_header, seal, unseal, write_header, NO_OWNER};
use crate::snapshot::{LoadOutcome, Pieces, StoredSnapshot, HEADER};
use redb::{Database, Durability, ReadableTable, Table, TableDefinition};

pub(crate) const TABLE: TableDefinition<u32, &[u8]> = TableDefinition::new("pieces");

/// Reads the stored snapshot of this owner.
///
/// # Errors
/// The engine can't read the file, the snapshot has another owner or a newer format, or a piece is missing, damaged or
/// of another snapshot.
pub(crate) fn read(engine: &Database, owner: u64) -> Result<LoadOutcome, QuarantineReason> {
    let transaction = engine.begin_read().map_err(QuarantineReason::unreadable)?;
    let table = match transaction.open_table(TABLE) {
        Ok(table) => table,
        Err(redb::TableError::TableDoesNotExist(_)) => return Ok(LoadOutcome::Empty),
        Err(error) => return Err(QuarantineReason::unreadable(error)),
    };
    let Some(bytes) = table.get(HEADER).map_err(QuarantineReason::unreadable)? else {
        return Ok(LoadOutcome::Empty);
    };
    let sealed_header = unseal(NO_OWNER, HEADER, bytes.value()).ok_or(QuarantineReason::Damaged(HEADER))?;
    let epoch = sealed_header.epoch;
    let header = read_header(sealed_header.body)?;
    if header.owner != owner {
        return Err(QuarantineReason::OtherOwner);
    }
    let mut pieces = Pieces::new();
    for number in header.numbers {
        let damaged = QuarantineReason::Damaged(number);
        let bytes = table.get(number).map_err(QuarantineReason::unreadable)?;
        let bytes = bytes.ok_or_else(|| damaged.clone())?;
        let piece = unseal(owner, number, bytes.value()).ok_or_else(|| damaged.clone())?;
        if piece.epoch != epoch {
            return Err(damaged);
        }
        pieces.insert(number, piece.body.to_vec());
    }
    Ok(LoadOutcome::Complete(StoredSnapshot { epoch, taken_at: header.taken_at, pieces }))
}

/// Writes one snapshot, replacing the one that was stored.
///
/// # Errors
/// The engine reports an error.
pub(crate) fn write(engine: &mut Database, owner: u64, snapshot: &StoredSnapshot) -> Result<(), StoreError> {
    let mut transaction = engine.begin_write().map_err(StoreError::engine)?;
    transaction.set_durability(Durability::Immediate);
    {
        let mut table = transaction.open_table(TABLE).map_err(StoreError::engine)?;
        remove_stale(&mut table, &snapshot.pieces)?;
        let epoch = snapshot.epoch;
        for (number, body) in &snapshot.pieces {
            let sealed = seal(owner, epoch, *number, body);
            table.insert(number, sealed.as_slice()).map_err(StoreError::engine)?;
        }
        let header = seal(NO_OWNER, epoch, HEADER, &write_header(owner, snapshot));
        table.insert(HEADER, header.as_slice()).map_err(StoreError::engine)?;
    }
    transaction.commit().map_err(StoreError::engine)
}

/// Removes stored pieces that the new snapshot does not have. Entries that can't be read are skipped: on loading,
/// pieces that the header does not list are ignored.
fn remove_stale(table: &mut Table<u32, &'static [u8]>, pieces: &Pieces) -> Result<(), StoreError> {
    let stored = table.iter().map_err(StoreError::engine)?;
    let numbers = stored.filter_map(Result::ok).map(|(number, _)| number.value());
    let stale: Vec<u32> =
        numbers.filter(|number| *number != HEADER && !pieces.contains_key(number)).collect();
    for number in stale {
        table.remove(number).map_err(StoreError::engine)?;
    }
    Ok(())
}
