//! The engines that the discovery service has listed: their names, numbers and addresses, and the indices that the
//! decision core uses for them.

use crate::protocol::discovery::{EngineEntry, EngineList, Event};
use cleatgw::{EngineListing, EngineStage};
use cleatgw_deployment_config::{index_of, name_hash, Names};
use std::collections::HashSet;
use std::net::SocketAddr;

/// The maximum number of engines in one log line about a complete list.
const ENGINES_PER_LOG_LINE: usize = 40;

/// An engine of the list. Its index in the registry is reused for another engine once it is gone; its number is not.
pub struct RegisteredEngine {
    /// The engine's unique name at the discovery service.
    pub uid: String,
    /// A number that no other engine gets while this router runs. The connections know the engine by it.
    pub number: u64,
    pub address: SocketAddr,
    /// The engine as the decision core knows it.
    pub listing: EngineListing,
}

/// A change of the engine list, as it is passed to the decision core.
pub struct ListChange {
    pub listings: Vec<EngineListing>,
    /// Whether the listings are those of all engines.
    pub is_complete: bool,
}

/// All engines that were listed, by their indices. An engine that is gone stays until its index is reused.
#[derive(Default)]
pub struct EngineRegistry {
    engines: Vec<RegisteredEngine>,
    last_number: u64,
    has_complete_list: bool,
}

impl EngineRegistry {
    /// Whether a complete list has been received, so that requests can be served.
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

    /// Applies an event of the discovery service. Returns `None` if the event holds no engine list. `in_use` holds the
    /// indices of the engines that have attempts in flight; these indices are not reused.
    pub fn apply(&mut self, event: Event, names: &mut Names, in_use: &HashSet<usize>) -> Option<ListChange> {
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

    /// Registers the engine of an entry and returns its listing. An engine that is not known yet gets an index, which
    /// is added to `new`.
    fn register(
        &mut self,
        entry: EngineEntry,
        names: &mut Names,
        in_use: &HashSet<usize>,
        new: &mut Vec<usize>,
    ) -> EngineListing {
        let known = self.engines.iter().position(|engine| engine.uid == entry.uid);
        let index = known.or_else(|| self.reusable_index(in_use)).unwrap_or(self.engines.len());
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

    /// The index of an engine that is gone and has no attempt in flight.
    fn reusable_index(&self, in_use: &HashSet<usize>) -> Option<usize> {
        let is_reusable = |index: &usize| {
            self.engines[*index].listing.stage == EngineStage::Gone && !in_use.contains(index)
        };
        (0..self.engines.len()).find(is_reusable)
    }

    /// Logs the new engines. Those of a complete list share lines, because the log accepts a limited number of lines
    /// per second.
    fn log_new(&self, new: &[usize], is_complete: bool) {
        if !is_complete {
            for &index in new {
                let RegisteredEngine { uid, address, .. } = &self.engines[index];
                log::info!(engine = index, uid = uid, address:% = address; "engine {index} is {uid} at {address}");
            }
            return;
        }
        for chunk in new.chunks(ENGINES_PER_LOG_LINE) {
            let describe = |index: &usize| {
                let RegisteredEngine { uid, address, .. } = &self.engines[*index];
                format!("{index} is {uid} at {address}")
            };
            let descriptions: Vec<String> = chunk.iter().map(describe).collect();
            log::info!(engines = chunk.len(); "engine {}", descriptions.join(", "));
        }
    }
}
