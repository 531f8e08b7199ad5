//! The engine lists of the wire: a sheet, and the entries that follow it.

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
    pub cell: u64,
    pub started_at: Option<f64>,
}

/// A list whose entries are still to come.
struct OpenList {
    number: u64,
    missing: u64,
}

/// The lists of a process, by their numbers. A number given anew means the newer list.
#[derive(Default)]
pub struct EngineLists {
    lists: HashMap<u64, Vec<EngineEntry>>,
    open: Option<OpenList>,
}

impl EngineLists {
    pub fn get(&self, number: u64) -> Option<&[EngineEntry]> {
        self.lists.get(&number).map(Vec::as_slice)
    }

    /// While a list lacks entries, nothing else may come.
    pub fn check_expected(&self, fields: &Fields) -> Result<(), WireError> {
        match &self.open {
            Some(OpenList { number, missing }) if fields.message() != "ENTRY" => {
                let expected = format!("{missing} more ENTRY lines for sheet {number}");
                Err(fields.error("members-list", expected, fields.message()))
            }
            _ => Ok(()),
        }
    }

    /// `SHEET`: begins a list.
    pub fn begin(&mut self, fields: &mut Fields) -> Result<(), WireError> {
        let number = fields.integer("ref")?;
        let missing = fields.integer("members-list")?;
        self.lists.insert(number, Vec::new());
        self.open = (missing > 0).then_some(OpenList { number, missing });
        Ok(())
    }

    /// `ENTRY`: adds to the list that was begun.
    pub fn add(&mut self, fields: &mut Fields) -> Result<(), WireError> {
        let Some(open) = &mut self.open else {
            return Err(fields.error("message", "a SHEET before its entries", fields.message()));
        };
        let entry = read_entry(fields)?;
        self.lists.entry(open.number).or_default().push(entry);
        open.missing -= 1;
        if open.missing == 0 {
            self.open = None;
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
    fields.number("heft")?;
    Ok(EngineEntry { address, zone, kind, stage, cell, started_at })
}
