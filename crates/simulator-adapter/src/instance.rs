//! One gateway instance: reads the fields of each event and reports the event to the instance's decision core.

use crate::engine_list::{EngineEntry, EngineLists};
use crate::error::WireError;
use crate::fields::Fields;
use crate::identities::Identities;
use crate::peer_digests::PeerDigests;
use crate::reply_writer::ReplyWriter;
use crate::units::seconds;
use cleatgw::{
    ActionWriter, AttemptEnd, AttemptOutcome, AttemptStatus, EngineListing, Gateway, IncomingRequest,
    LoadReport, MeasuredCost,
};
use cleatgw_deployment_config::{index_of, name_hash, read_deployment, NamedDeployment, Names, Settings};
use cleatgw_operator_config::{TeamsFile, TenantNames};

/// Set in `state-bits` of a `CALL` line if `plan-cost-us` states an estimate of the cost.
const COST_IS_STATED: u64 = 1;
/// A measured cost is one number: the work in whole milliseconds times this factor, plus the memory in units of
/// [`MB_PER_MEMORY_UNIT`].
const MEASURED_WORK_FACTOR: u64 = 4096;
const MB_PER_MEMORY_UNIT: f64 = 4.0;
const MS_PER_S: f64 = 1e3;

/// One gateway instance.
pub struct Instance {
    gateway: Gateway,
    names: Names,
    identities: Identities,
    /// Absent without a teams file.
    tenants: Option<TenantNames>,
    /// Absent if this instance exchanges no digests with its peers.
    digests: Option<PeerDigests>,
}

impl Instance {
    /// Starts an instance from the seed and the settings that follow its name in a `BEGIN` line.
    ///
    /// # Errors
    /// A seed or setting that is missing or malformed.
    pub fn begin(
        now: f64,
        fields: &mut Fields,
        teams: Option<&TeamsFile>,
        sends_digests: bool,
    ) -> Result<Instance, WireError> {
        let seed = fields.integer("entropy")?;
        let settings = Settings::from_pairs(fields.remainder());
        let NamedDeployment { deployment, names } = read_deployment(&settings)?;
        let mut gateway = Gateway::new(deployment, seed, now);
        let tenants = teams.map(|file| {
            let (queue, tenants) = file.tenant_queue(now, &names.classes);
            // The decision core has no requests yet that would have to be moved to the queues.
            gateway.set_tenants(now, queue, &|_| 0);
            tenants
        });
        let peer = settings.peer_instance()?.filter(|_| sends_digests);
        let digests = peer.map(|peer| PeerDigests::new(peer, seed, now));
        Ok(Instance { gateway, names, identities: Identities::default(), tenants, digests })
    }

    /// Handles one event. Events and fields that the decision core has no use for are only checked.
    ///
    /// # Errors
    /// A field that is missing or malformed, an unknown class, or an engine list that was not sent.
    pub fn event(&mut self, now: f64, lists: &EngineLists, fields: &mut Fields) -> Result<(), WireError> {
        match fields.message() {
            "BACKENDS_CHANGED" => self.engines_listed(now, lists, fields),
            "CALL" => self.request_received(now, fields),
            "OUTCOME" => self.attempt_ended(now, fields),
            "WITHDRAWN" => self.request_withdrawn(fields),
            "NOTICE" => self.attempt_status_received(now, fields),
            "HEALTH" => self.probe_answered(fields),
            "PEER" => self.digest_received(now, fields),
            "OPENED" => connection_opened(fields),
            // `DEADLINE_HIT`: a time at which the decision core asked for a round. The round at the end of the batch is
            // all that it needs.
            _ => fields.required("tag", "a token").map(drop),
        }
    }

    /// Runs one round of the decision core after all events of a batch, and writes the actions to the reply.
    pub fn decide(&mut self, now: f64, name: &str, reply: &mut String) {
        let due_digest = self.digests.as_mut().and_then(|digests| {
            digests.deliver(now, &mut self.gateway);
            digests.due(now, &self.gateway)
        });
        let mut writer = ReplyWriter { instance: name, identities: &mut self.identities, reply };
        if let Some(digest) = due_digest {
            for peer in digest.receivers {
                writer.send_to_peers(Some(usize::from(peer)), &digest.bytes);
            }
        }
        self.gateway.round(now, &mut writer);
    }

    fn engines_listed(
        &mut self,
        now: f64,
        lists: &EngineLists,
        fields: &mut Fields,
    ) -> Result<(), WireError> {
        let number = fields.optional::<u64>("ref", "a sheet's number")?;
        let how = fields.required("how", "diff, snapshot, disk or error")?;
        fields.optional_integer("revision")?;
        let is_complete = match how {
            "diff" => false,
            "snapshot" | "disk" => true,
            "error" => {
                self.gateway.engine_list_failed(now);
                return Ok(());
            }
            other => return Err(fields.error("how", "diff, snapshot, disk or error", other)),
        };
        let Some(entries) = number.and_then(|number| lists.get(number)) else {
            let got = number.map_or("nothing".to_string(), |number| number.to_string());
            return Err(fields.error("ref", "a sheet that was sent", &got));
        };
        let listings: Vec<EngineListing> = entries.iter().map(|entry| self.listing(entry)).collect();
        if let Some(digests) = &mut self.digests {
            digests.engines_listed(&listings);
        }
        self.gateway.engines_listed(now, &listings, is_complete);
        Ok(())
    }

    fn listing(&mut self, entry: &EngineEntry) -> EngineListing {
        EngineListing {
            engine: self.identities.engine(&entry.address),
            name_hash: name_hash(&entry.address),
            zone: index_of(&mut self.names.zones, &entry.zone),
            kind: index_of(&mut self.names.kinds, &entry.kind),
            cell: entry.cell,
            started_at: entry.started_at,
            stage: entry.stage,
        }
    }

    fn request_received(&mut self, now: f64, fields: &mut Fields) -> Result<(), WireError> {
        let id = fields.integer("req")?;
        let cost = fields.optional_integer("plan-cost-us")?;
        let tenant = fields.text();
        let tenant = self.tenants.as_ref().map_or(0, |tenants| tenants.index_of(tenant));
        let key = read_key(fields)?;
        let class = fields.required("tier-class", "a class")?;
        let memory = fields.optional_number("mem-mb")?;
        let table_group = fields.optional_number("schema-no")?.unwrap_or(0.0);
        let state_bits = fields.optional_integer("state-bits")?.unwrap_or(0);
        let deadline = seconds(fields.integer("valid-until-us")?);
        let Some(class) = self.names.classes.iter().position(|name| name == class) else {
            return Err(fields.error("tier-class", "a class named at the start", class));
        };
        let request = self.identities.add_request(id);
        let is_cost_stated = state_bits & COST_IS_STATED != 0;
        let incoming = IncomingRequest {
            class,
            key,
            // The decision core only compares table groups. The wire allows any number, whose bits stand for the group.
            table_group: table_group.to_bits(),
            estimated_work: cost.filter(|&cost| is_cost_stated && cost > 0).map(seconds),
            estimated_memory_mb: memory.filter(|&memory| memory > 0.0),
            deadline,
            tenant,
            earlier_attempt_at: None,
        };
        self.gateway.request_received(now, request, incoming);
        Ok(())
    }

    fn attempt_ended(&mut self, now: f64, fields: &mut Fields) -> Result<(), WireError> {
        let id = fields.integer("req")?;
        let cost = fields.optional_integer("true-cost")?.filter(|&cost| cost > 0);
        fields.integer("hop")?;
        let engine = self.identities.engine(fields.required("engine", "an address")?);
        let outcome = read_outcome(fields)?;
        let request_done = fields.flag("no-more")?;
        let elapsed = seconds(fields.integer("spent-us")?);
        let load = self.read_load(fields)?;
        let Some(request) = self.identities.request(id) else { return Ok(()) };
        self.identities.attempt_ended(request, request_done);
        let measured = cost.map(measured_cost);
        let end = AttemptEnd { request, engine, outcome, request_done, elapsed, measured, load };
        self.gateway.attempt_ended(now, &end);
        self.identities.remove_if_finished(request);
        Ok(())
    }

    fn request_withdrawn(&mut self, fields: &mut Fields) -> Result<(), WireError> {
        if let Some(request) = self.identities.request(fields.integer("req")?) {
            self.gateway.request_finished(request);
            self.identities.answered(request);
        }
        Ok(())
    }

    /// Handles an engine's message about an attempt in flight.
    fn attempt_status_received(&mut self, now: f64, fields: &mut Fields) -> Result<(), WireError> {
        let id = fields.integer("req")?;
        fields.integer("hop")?;
        fields.required("engine", "an address")?;
        let kind = fields.integer("kind")?;
        let value = fields.optional_number("x")?.unwrap_or(0.0);
        // Kind 1 is progress, 2 is spilling to disk, and 3 is a wait: for the engine's load if the value is 2, else for
        // memory.
        let status = match kind {
            1 => AttemptStatus::Progress(value),
            2 => AttemptStatus::Spills,
            3 if value == 2.0 => AttemptStatus::WaitsForLoad,
            3 => AttemptStatus::WaitsForMemory,
            _ => return Ok(()),
        };
        if let Some(request) = self.identities.request(id) {
            self.gateway.attempt_status_received(now, request, status);
        }
        Ok(())
    }

    /// Checks the answer to a health check and drops it: the decision core sends no probes.
    fn probe_answered(&mut self, fields: &mut Fields) -> Result<(), WireError> {
        fields.required("engine", "an address")?;
        read_outcome(fields)?;
        fields.integer("spent-us")?;
        self.read_load(fields).map(drop)
    }

    fn digest_received(&mut self, now: f64, fields: &mut Fields) -> Result<(), WireError> {
        // An index that does not fit into 16 bits is taken as the highest one; its digest is not dropped, but
        // replaces the observations of other such senders on the same engines.
        let sender = u16::try_from(fields.integer("author")?).unwrap_or(u16::MAX);
        let content = fields.text().unwrap_or("");
        let bytes = PeerDigests::decode(content).ok_or_else(|| fields.error("content", "base64", content))?;
        if let Some(digests) = &mut self.digests {
            digests.received(sender, &bytes, now);
        }
        Ok(())
    }

    /// Reads the next field as an engine's load report, whose columns are named in the settings.
    fn read_load(&self, fields: &mut Fields) -> Result<LoadReport, WireError> {
        let mut load = LoadReport::default();
        let Some(row) = fields.text() else { return Ok(load) };
        for (column, text) in self.names.columns.iter().zip(row.split(',')) {
            let value = match text {
                "-" | "" => None,
                _ => Some(text.parse().map_err(|_| fields.error("telemetry", "numbers", row))?),
            };
            match column.as_str() {
                "outstanding" => load.requests = value,
                "backlog" => load.memory_waits = value,
                "x0" => load.granted_memory_share = value,
                _ => {}
            }
        }
        Ok(load)
    }
}

/// Checks the event and drops it.
fn connection_opened(fields: &mut Fields) -> Result<(), WireError> {
    fields.integer("req")?;
    fields.required("engine", "an address")?;
    fields.integer("spent-us")?;
    fields.integer("hop").map(drop)
}

fn read_key(fields: &mut Fields) -> Result<Option<u64>, WireError> {
    let Some(text) = fields.text() else { return Ok(None) };
    let key = u64::from_str_radix(text, 16);
    key.map(Some).map_err(|_| fields.error("object", "16 hex digits", text))
}

fn read_outcome(fields: &mut Fields) -> Result<AttemptOutcome, WireError> {
    Ok(match fields.required("state-code", "an outcome")? {
        "done" => AttemptOutcome::Completed,
        "err" => AttemptOutcome::EngineError,
        "busy" => AttemptOutcome::EngineFull,
        "etimedout" => AttemptOutcome::TimedOut,
        "econnrefused" => AttemptOutcome::Unreachable,
        "econnreset" => AttemptOutcome::ConnectionLost,
        "ecanceled" => AttemptOutcome::Cancelled,
        "skipped" => AttemptOutcome::NeverSent,
        other => return Err(fields.error("state-code", "an outcome", other)),
    })
}

fn measured_cost(cost: u64) -> MeasuredCost {
    MeasuredCost {
        work: (cost / MEASURED_WORK_FACTOR) as f64 / MS_PER_S,
        memory_mb: (cost % MEASURED_WORK_FACTOR) as f64 * MB_PER_MEMORY_UNIT,
    }
}
