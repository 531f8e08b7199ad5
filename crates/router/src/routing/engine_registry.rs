//! The engines that discovery has listed: their names, numbers and addresses, and the indices by which the decisions know
//! them.

use crate::protocol::discovery::{EngineEntry, EngineList, Event};
use cleatgw::{EngineListing, EngineStage};
use cleatgw_deployment_config::{index_of, name_hash, Names};
use std::collections::HashSet;
use std::net::SocketAddr;

/// So many engines of a complete list are named in one line of the log.
const ENGINES_PER_LOG_LINE: usize = 40;

/// One engine of the list. Its number is its own for good; its index goes to another once it is gone.
pub struct RegisteredEngine {
    pub uid: String,
    pub number: u64,
    pub address: SocketAddr,
    pub listing: EngineListing,
}

/// What an event of the list means to the decisions.
pub struct ListChange {
    pub listings: Vec<EngineListing>,
    /// It names all engines there are.
    pub is_complete: bool,
}

/// All engines, by their indices.
#[derive(Default)]
pub struct EngineRegistry {
    engines: Vec<RegisteredEngine>,
    last_number: u64,
    has_complete_list: bool,
}

impl EngineRegistry {
    /// A complete list has come: requests can be served.
    pub fn has_complete_list(&self) -> bool {
        self.has_complete_list
    }

    pub fn get(&self, index: usize) -> Option<&RegisteredEngine> {
        self.engines.get(index)
    }

    pub fn iter(&self) -> impl Iterator<Item = &RegisteredEngine> {
        self.engines.iter()
    }

    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// The listings of all engines.
    pub fn listings(&self) -> Vec<EngineListing> {
        self.engines.iter().map(|engine| engine.listing).collect()
    }

    /// Notes an event of the list; none where it tells of something else. `in_use` are the indices of engines that have
    /// attempts in flight, which are not given to others.
    pub fn note(&mut self, event: Event, names: &mut Names, in_use: &HashSet<usize>) -> Option<ListChange> {
        let EngineList { is_complete, entries } = event.list?;
        let mut new = Vec::new();
        let mut listings = Vec::new();
        for entry in entries {
            listings.push(self.register(entry, names, in_use, &mut new));
        }
        self.log_new(&new, is_complete);
        if is_complete {
            for engine in &mut self.engines {
                engine.listing.stage = EngineStage::Gone;
            }
        }
        for listing in &listings {
            self.engines[listing.engine].listing = *listing;
        }
        self.has_complete_list |= is_complete;
        Some(ListChange { listings, is_complete })
    }

    /// The listing of an entry; an engine that is not known takes an index, which goes into `new`.
    fn register(
        &mut self,
        entry: EngineEntry,
        names: &mut Names,
        in_use: &HashSet<usize>,
        new: &mut Vec<usize>,
    ) -> EngineListing {
        let known = self.engines.iter().position(|engine| engine.uid == entry.uid);
        let index = known.or_else(|| self.spare_index(in_use)).unwrap_or(self.engines.len());
        let listing = EngineListing {
            engine: index,
            name_hash: name_hash(&entry.uid),
            zone: index_of(&mut names.zones, &entry.zone),
            kind: index_of(&mut names.kinds, &entry.kind),
            cell: entry.cell,
            started_at: entry.started_at,
            stage: entry.stage,
        };
        if known.is_some() {
            self.engines[index].address = entry.address;
            return listing;
        }
        new.push(index);
        self.last_number += 1;
        let number = self.last_number;
        let address = entry.address;
        let engine = RegisteredEngine { uid: entry.uid, number, address, listing };
        match self.engines.get_mut(index) {
            Some(gone) => *gone = engine,
            None => self.engines.push(engine),
        }
        listing
    }

    /// The index of an engine that is gone, with no attempt in flight on it.
    fn spare_index(&self, in_use: &HashSet<usize>) -> Option<usize> {
        let is_spare = |index: &usize| {
            self.engines[*index].listing.stage == EngineStage::Gone && !in_use.contains(index)
        };
        (0..self.engines.len()).find(is_spare)
    }

    /// Names new engines in the log, which takes so many lines a second: many a line for a complete list.
    fn log_new(&self, new: &[usize], is_complete: bool) {
        if !is_complete {
            for &index in new {
                let RegisteredEngine { uid, address, .. } = &self.engines[index];
                log::info!(engine = index, uid = uid, address:% = address; "engine {index} is {uid} at {address}");
            }
            return;
        }
        for some in new.chunks(ENGINES_PER_LOG_LINE) {
            let name = |index: &usize| {
                let RegisteredEngine { uid, address, .. } = &self.engines[*index];
                format!("{index} is {uid} at {address}")
            };
            let names: Vec<String> = some.iter().map(name).collect();
            log::info!(engines = some.len(); "engine {}", names.join(", "));
        }
    }
}
