//! The engine lists of the wire protocol: each is a `SHEET` line and the `ENTRY` lines that follow it.

use crate::error::WireError;
use crate::fields::Fields;
use crate::units::seconds;
use cleatgw::EngineStage;
use std::collections::HashMap;

/// One engine of a list.
pub struct EngineEntry {
    pub address: String,
    pub zone: String,
    pub kind: String,
    pub stage: EngineStage,
    /// The group of engines that may recognise repeats of each other's requests.
    pub cell: u64,
    /// When the engine started. Absent if the entry does not state it.
    pub started_at: Option<f64>,
}

/// A list whose entries have not all been read.
struct IncompleteList {
    number: u64,
    /// The number of entries that are still missing.
    missing: u64,
}

/// The engine lists of the process by their numbers. A list replaces an earlier one with the same number.
#[derive(Default)]
pub struct EngineLists {
    lists: HashMap<u64, Vec<EngineEntry>>,
    incomplete: Option<IncompleteList>,
}

impl EngineLists {
    pub fn get(&self, number: u64) -> Option<&[EngineEntry]> {
        self.lists.get(&number).map(Vec::as_slice)
    }

    /// Checks that a line is an entry while a list is incomplete.
    ///
    /// # Errors
    /// Any other line while entries are missing.
    pub fn check_expected(&self, fields: &Fields) -> Result<(), WireError> {
        match &self.incomplete {
            Some(IncompleteList { number, missing }) if fields.message() != "ENTRY" => {
                let expected = format!("{missing} more ENTRY lines for sheet {number}");
                Err(fields.error("members-list", expected, fields.message()))
            }
            _ => Ok(()),
        }
    }

    /// Reads a `SHEET` line, which begins a list.
    ///
    /// # Errors
    /// A field that is missing or malformed.
    pub fn begin(&mut self, fields: &mut Fields) -> Result<(), WireError> {
        let number = fields.integer("ref")?;
        let missing = fields.integer("members-list")?;
        self.lists.insert(number, Vec::new());
        self.incomplete = (missing > 0).then_some(IncompleteList { number, missing });
        Ok(())
    }

    /// Reads an `ENTRY` line and adds the entry to the incomplete list.
    ///
    /// # Errors
    /// No list is incomplete, or a field is missing or malformed.
    pub fn add(&mut self, fields: &mut Fields) -> Result<(), WireError> {
        let Some(list) = &mut self.incomplete else {
            return Err(fields.error("message", "a SHEET before its entries", fields.message()));
        };
        let entry = read_entry(fields)?;
        self.lists.entry(list.number).or_default().push(entry);
        list.missing -= 1;
        if list.missing == 0 {
            self.incomplete = None;
        }
        Ok(())
    }
}

fn read_entry(fields: &mut Fields) -> Result<EngineEntry, WireError> {
    let started_at = fields.optional::<u64>("since-us", "a time")?.filter(|&us| us > 0).map(seconds);
    let kind = fields.text().unwrap_or("").to_string();
    let zone = fields.text().unwrap_or("").to_string();
    let address = fields.required("engine", "an address")?.to_string();
    let stage = match fields.required("stage-state", "Ready, Terminating or Gone")? {
        "Ready" => EngineStage::Ready,
        "Terminating" => EngineStage::Draining,
        "Gone" => EngineStage::Gone,
        other => return Err(fields.error("stage-state", "Ready, Terminating or Gone", other)),
    };
    let cell = fields.optional_integer("group")?.unwrap_or(0);
    fields.optional_number("heft")?;
    Ok(EngineEntry { address, zone, kind, stage, cell, started_at })
}
