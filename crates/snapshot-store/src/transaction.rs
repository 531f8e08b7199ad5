//! Reading and writing one snapshot in the engine, each in one transaction.

use crate::error::{QuarantineReason, StoreError};
use crate::format::{read_head, seal, unseal, write_head, NO_OWNER};
use crate::snapshot::{LoadOutcome, Pieces, StoredSnapshot, HEAD};
use redb::{Database, Durability, ReadableTable, Table, TableDefinition};

pub(crate) const TABLE: TableDefinition<u32, &[u8]> = TableDefinition::new("pieces");

/// Reads what is there, for this owner.
pub(crate) fn read(engine: &Database, owner: u64) -> Result<LoadOutcome, QuarantineReason> {
    let transaction = engine.begin_read().map_err(QuarantineReason::unreadable)?;
    let table = match transaction.open_table(TABLE) {
        Ok(table) => table,
        Err(redb::TableError::TableDoesNotExist(_)) => return Ok(LoadOutcome::Empty),
        Err(error) => return Err(QuarantineReason::unreadable(error)),
    };
    let Some(bytes) = table.get(HEAD).map_err(QuarantineReason::unreadable)? else {
        return Ok(LoadOutcome::Empty);
    };
    let sealed_head = unseal(NO_OWNER, HEAD, bytes.value()).ok_or(QuarantineReason::Damaged(HEAD))?;
    let epoch = sealed_head.epoch;
    let head = read_head(sealed_head.body)?;
    if head.owner != owner {
        return Err(QuarantineReason::OtherOwner);
    }
    let mut pieces = Pieces::new();
    for number in head.numbers {
        let damaged = QuarantineReason::Damaged(number);
        let bytes = table.get(number).map_err(QuarantineReason::unreadable)?;
        let bytes = bytes.ok_or_else(|| damaged.clone())?;
        let piece = unseal(owner, number, bytes.value()).ok_or_else(|| damaged.clone())?;
        if piece.epoch != epoch {
            return Err(damaged);
        }
        pieces.insert(number, piece.body.to_vec());
    }
    Ok(LoadOutcome::Complete(StoredSnapshot { epoch, taken_at: head.taken_at, pieces }))
}

/// Writes one snapshot in place of what was there.
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
        let head = seal(NO_OWNER, epoch, HEAD, &write_head(owner, snapshot));
        table.insert(HEAD, head.as_slice()).map_err(StoreError::engine)?;
    }
    transaction.commit().map_err(StoreError::engine)
}

/// Removes pieces that are no longer stored.
fn remove_stale(table: &mut Table<u32, &'static [u8]>, pieces: &Pieces) -> Result<(), StoreError> {
    let stored = table.iter().map_err(StoreError::engine)?;
    let numbers = stored.filter_map(Result::ok).map(|(number, _)| number.value());
    let stale: Vec<u32> = numbers.filter(|number| *number != HEAD && !pieces.contains_key(number)).collect();
    for number in stale {
        table.remove(number).map_err(StoreError::engine)?;
    }
    Ok(())
}
