//! The instances of one process: each event becomes a call of its decisions, each decision a line.

use crate::wire::{micros, seconds, Fields};
use base64::{engine::general_purpose::STANDARD, Engine as _};
use cleatgw::Gateway;
use cleatgw::{
    ActionWriter, AttemptEnd, AttemptNote, AttemptOutcome, EngineEvidence, EngineListing, EngineStage,
    IncomingRequest, LoadReport, MeasuredCost,
};
use cleatgw_deployment_config::{self as start, name_hash, Complaint, Names, Pairs};
use cleatgw_membership::digest::{self, EngineIncarnation, PeerEvidence, Rounds};
use cleatgw_operator_config::{TeamNames, TeamsFile};
use std::collections::HashMap;
use std::fmt::Write as _;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// A request's name on the wire, and whether it may still be heard of.
struct WireRequest {
    id: u64,
    out: u32,
    over: bool,
}

#[derive(Default)]
struct Ids {
    requests: HashMap<usize, WireRequest>,
    request_of: HashMap<u64, usize>,
    next_request: usize,
    engines: Vec<String>,
    engine_of: HashMap<String, usize>,
}

impl Ids {
    fn drop_if_done(&mut self, request: usize) {
        if self.requests.get(&request).is_some_and(|name| name.over && name.out == 0) {
            let id = self.requests.remove(&request).expect("just seen").id;
            self.request_of.remove(&id);
        }
    }

    fn over(&mut self, request: usize) {
        if let Some(name) = self.requests.get_mut(&request) {
            name.over = true;
        }
        self.drop_if_done(request);
    }

    fn engine(&mut self, address: &str) -> usize {
        if let Some(&engine) = self.engine_of.get(address) {
            return engine;
        }
        self.engines.push(address.to_string());
        self.engine_of.insert(address.to_string(), self.engines.len() - 1);
        self.engines.len() - 1
    }
}

struct Instance {
    gateway: Gateway,
    names: Names,
    ids: Ids,
    tenants: Option<TeamNames>,
    /// What instances tell each other of engines, where the deployment allows that, and which incarnation each engine is in.
    rounds: Option<Rounds>,
    incarnations: Vec<EngineIncarnation>,
    hear_at: f64,
}

/// Encodes one instance's decisions as they are made.
struct Pen<'a> {
    instance: &'a str,
    ids: &'a mut Ids,
    reply: &'a mut String,
}

fn write_line(reply: &mut String, words: std::fmt::Arguments) {
    reply.write_fmt(words).expect("a string takes all");
    reply.push('\n');
}

impl Pen<'_> {
    fn id(&self, request: usize) -> Option<u64> {
        self.ids.requests.get(&request).map(|name| name.id)
    }
}

impl ActionWriter for Pen<'_> {
    fn set_terms(&mut self, request: usize, lane: u8, memory_mb: f64) {
        let Some(id) = self.id(request) else { return };
        write_line(self.reply, format_args!("PROVIDE {} {id} {lane} {:.1}", self.instance, memory_mb));
    }

    /// On this wire an attempt leaves at once.
    fn dispatch(&mut self, request: usize, engine: usize, time_out: Option<f64>, _leave_by: f64) {
        let Some(name) = self.ids.requests.get_mut(&request) else { return };
        name.out += 1;
        let (id, time_out) = (name.id, time_out.map_or(0, |limit| micros(limit).max(1)));
        let address = self.ids.engines[engine].clone();
        write_line(self.reply, format_args!("ASSIGN {} {id} {time_out} {address}", self.instance));
    }

    fn cancel(&mut self, request: usize, attempt: u32) {
        let Some(id) = self.id(request) else { return };
        write_line(self.reply, format_args!("WITHDRAW {} {id} {attempt}", self.instance));
    }

    fn reject(&mut self, request: usize, retry_after: Option<f64>) {
        let Some(id) = self.id(request) else { return };
        let wait = retry_after.map_or(0, micros);
        write_line(self.reply, format_args!("NOT_NOW {} {id} {wait}", self.instance));
        self.ids.over(request);
    }

    fn fail(&mut self, request: usize) {
        let Some(id) = self.id(request) else { return };
        write_line(self.reply, format_args!("DROP_REQUEST {} {id}", self.instance));
        self.ids.over(request);
    }

    fn watch_list(&mut self, on: bool) {
        write_line(self.reply, format_args!("LISTEN {} {}", self.instance, u8::from(on)));
    }

    fn fetch_list(&mut self) {
        write_line(self.reply, format_args!("RESOLVE {}", self.instance));
    }

    fn probe(&mut self, engine: usize) {
        let address = self.ids.engines[engine].clone();
        write_line(self.reply, format_args!("HEALTH_CHECK {} {address}", self.instance));
    }

    fn close_idle(&mut self, engine: usize) {
        let address = self.ids.engines[engine].clone();
        write_line(self.reply, format_args!("CLOSE {} {address}", self.instance));
    }

    fn send_to_peers(&mut self, peer: Option<usize>, content: &[u8]) {
        let peer = peer.map_or("*".to_string(), |number| number.to_string());
        let content = if content.is_empty() { "-".to_string() } else { STANDARD.encode(content) };
        write_line(self.reply, format_args!("POST {} {peer} {content}", self.instance));
    }

    fn wake_at(&mut self, at: f64) {
        write_line(self.reply, format_args!("NOTIFY_ME {} due {}", self.instance, (at * 1e6).ceil() as u64));
    }

    fn log(&mut self, line: &str) {
        write_line(self.reply, format_args!("TRACE {} {}", self.instance, line.replace('\n', " ")));
    }
}

struct Entry {
    address: String,
    zone: String,
    kind: String,
    stage: EngineStage,
    cell: u64,
    since: Option<f64>,
}

/// What others say of engines is handed to the decisions so often, in seconds.
const HEARS: f64 = 0.25;

/// All that one process holds.
#[derive(Default)]
pub struct Host {
    now: f64,
    batch: u64,
    in_batch: bool,
    instances: HashMap<String, Instance>,
    touched: Vec<String>,
    sheets: HashMap<u64, Vec<Entry>>,
    /// The sheet being filled, and how many entries it still lacks.
    filling: Option<(u64, u64)>,
    faults: String,
    /// Who shares the engines, where the operator says so.
    pub tenants: Option<TeamsFile>,
    /// Instances tell each other of engines, where the deployment allows that.
    pub tells: bool,
}

impl Host {
    /// Takes one line; a batch's last one gives back the reply.
    pub fn line(&mut self, number: u64, text: &str) -> Result<Option<String>, Complaint> {
        let mut fields = Fields::new(number, text);
        let message = fields.message();
        if let Some((sheet, missing)) = self.filling {
            if message != "ENTRY" {
                let expected = format!("{missing} more ENTRY lines for sheet {sheet}");
                return Err(fields.complain("members-list", &expected, message));
            }
        }
        match (message, self.in_batch) {
            ("MARK", false) => {
                self.now = seconds(fields.whole("now")?);
                self.batch = fields.whole("batch number")?;
                self.in_batch = true;
                return Ok(None);
            }
            ("", false) => return Ok(None),
            (_, false) => return Err(fields.complain("message", "MARK", message)),
            ("MARK", true) => return Err(fields.complain("message", "an event or EOB", message)),
            ("EOB", true) => return Ok(Some(self.answer())),
            ("SHEET", true) => {
                let (sheet, entries) = (fields.whole("ref")?, fields.whole("members-list")?);
                self.sheets.insert(sheet, Vec::new());
                self.filling = (entries > 0).then_some((sheet, entries));
                return Ok(None);
            }
            ("ENTRY", true) => {
                let Some((sheet, missing)) = self.filling else {
                    return Err(fields.complain("message", "a SHEET before its entries", message));
                };
                let entry = read_entry(&mut fields)?;
                self.sheets.entry(sheet).or_default().push(entry);
                self.filling = (missing > 1).then_some((sheet, missing - 1));
                return Ok(None);
            }
            _ => {}
        }
        let known = [
            "BEGIN",
            "KILLED",
            "BACKENDS_CHANGED",
            "CALL",
            "HEALTH",
            "DEADLINE_HIT",
            "PEER",
            "NOTICE",
            "WITHDRAWN",
            "OPENED",
            "OUTCOME",
        ];
        if !known.contains(&message) {
            return Err(fields.complain("message", "an event of the wire page", message));
        }
        let name = fields.need("i", "an instance")?;
        match message {
            "BEGIN" => {
                let seed = fields.whole("entropy")?;
                let pairs = Pairs::from_words(fields.remainder());
                let read = start::read(&pairs);
                let (deployment, names) =
                    read.map_err(|Complaint(words)| Complaint(format!("BEGIN: {words}")))?;
                let mut gateway = Gateway::new(deployment, seed, self.now);
                let tenants = self.tenants.as_ref().map(|file| {
                    let (line, tenants) = file.line(self.now, &names.classes);
                    gateway.set_tenants(self.now, line, &|_| 0);
                    tenants
                });
                let talks = pairs.instances();
                let talks = talks.map_err(|Complaint(words)| Complaint(format!("BEGIN: {words}")))?;
                let rounds =
                    talks.filter(|_| self.tells).map(|(me, all)| Rounds::new(me, all, seed, self.now));
                let (ids, incarnations, hear_at) = Default::default();
                let instance = Instance { gateway, names, ids, tenants, rounds, incarnations, hear_at };
                self.instances.insert(name.to_string(), instance);
            }
            "KILLED" => {
                self.instances.remove(name);
                self.touched.retain(|touched| touched != name);
                return Ok(None);
            }
            _ => {
                let Some(instance) = self.instances.get_mut(name) else {
                    return Err(fields.complain("i", "an instance that has begun", name));
                };
                let (now, sheets) = (self.now, &self.sheets);
                let told = catch_unwind(AssertUnwindSafe(|| instance.event(now, sheets, &mut fields)));
                match told {
                    Ok(read) => read?,
                    Err(panic) => return Ok(self.fault(name, &*panic)),
                }
            }
        }
        if !self.touched.iter().any(|touched| touched == name) {
            self.touched.push(name.to_string());
        }
        Ok(None)
    }

    pub fn in_batch(&self) -> bool {
        self.in_batch
    }

    fn fault(&mut self, name: &str, panic: &(dyn std::any::Any + Send)) -> Option<String> {
        let words = panic.downcast_ref::<String>().map(String::as_str);
        let words = words.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("panic");
        self.faults += &format!("FAULT {name} {}\n", words.replace('\n', " "));
        self.instances.remove(name);
        self.touched.retain(|touched| touched != name);
        None
    }

    fn answer(&mut self) -> String {
        let mut reply = String::new();
        for name in std::mem::take(&mut self.touched) {
            let Some(instance) = self.instances.get_mut(&name) else { continue };
            let now = self.now;
            instance.hear_peers(now);
            let told = instance.tells(now);
            let (gateway, ids) = (&mut instance.gateway, &mut instance.ids);
            let mut pen = Pen { instance: &name, ids, reply: &mut reply };
            if let Some((who, words)) = told {
                who.iter().for_each(|peer| pen.send_to_peers(Some(usize::from(*peer)), &words));
            }
            if let Err(panic) = catch_unwind(AssertUnwindSafe(|| gateway.round(now, &mut pen))) {
                self.fault(&name, &*panic);
            }
        }
        reply += &std::mem::take(&mut self.faults);
        self.in_batch = false;
        write_line(&mut reply, format_args!("ACK {}", self.batch));
        reply
    }
}

fn read_entry(fields: &mut Fields) -> Result<Entry, Complaint> {
    let since = fields.maybe::<u64>("since-us", "a time")?.filter(|&us| us > 0).map(seconds);
    let kind = fields.text().unwrap_or("").to_string();
    let zone = fields.text().unwrap_or("").to_string();
    let address = fields.need("engine", "an address")?.to_string();
    let stage = match fields.need("stage-state", "Ready, Terminating or Gone")? {
        "Ready" => EngineStage::Ready,
        "Terminating" => EngineStage::Draining,
        "Gone" => EngineStage::Gone,
        other => return Err(fields.complain("stage-state", "Ready, Terminating or Gone", other)),
    };
    let cell = fields.maybe::<u64>("group", "a whole number")?.unwrap_or(0);
    fields.number("heft")?;
    Ok(Entry { address, zone, kind, stage, cell, since })
}

fn read_load(columns: &[String], row: Option<&str>, fields: &Fields) -> Result<LoadReport, Complaint> {
    let mut load = LoadReport::default();
    let Some(row) = row else { return Ok(load) };
    for (column, text) in columns.iter().zip(row.split(',')) {
        let value = match text {
            "-" | "" => None,
            _ => Some(text.parse().map_err(|_| fields.complain("telemetry", "numbers", row))?),
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

fn read_ending(fields: &mut Fields) -> Result<AttemptOutcome, Complaint> {
    Ok(match fields.need("state-code", "an outcome")? {
        "done" => AttemptOutcome::Completed,
        "err" => AttemptOutcome::EngineError,
        "busy" => AttemptOutcome::EngineFull,
        "etimedout" => AttemptOutcome::TimedOut,
        "econnrefused" => AttemptOutcome::Unreachable,
        "econnreset" => AttemptOutcome::ConnectionLost,
        "ecanceled" => AttemptOutcome::Cancelled,
        "skipped" => AttemptOutcome::NeverSent,
        other => return Err(fields.complain("state-code", "an outcome", other)),
    })
}

impl Instance {
    fn event(
        &mut self,
        now: f64,
        sheets: &HashMap<u64, Vec<Entry>>,
        fields: &mut Fields,
    ) -> Result<(), Complaint> {
        match fields.message() {
            "BACKENDS_CHANGED" => self.listed(now, sheets, fields),
            "CALL" => self.call(now, fields),
            "OUTCOME" => self.outcome(now, fields),
            "WITHDRAWN" => {
                if let Some(&request) = self.ids.request_of.get(&fields.whole("req")?) {
                    self.gateway.request_withdrawn(request);
                    self.ids.over(request);
                }
                Ok(())
            }
            "NOTICE" => {
                let wire_id = fields.whole("req")?;
                fields.whole("hop")?;
                fields.need("engine", "an address")?;
                let kind = fields.whole("kind")?;
                let value = fields.number("x")?.unwrap_or(0.0);
                let note = match kind {
                    1 => AttemptNote::Progress(value),
                    2 => AttemptNote::Spills,
                    3 if value == 2.0 => AttemptNote::WaitsForLoad,
                    3 => AttemptNote::WaitsForMemory,
                    _ => return Ok(()),
                };
                if let Some(&request) = self.ids.request_of.get(&wire_id) {
                    self.gateway.attempt_noted(now, request, note);
                }
                Ok(())
            }
            "HEALTH" => {
                // Checked, and put to no use yet: the decisions send no probes.
                fields.need("engine", "an address")?;
                read_ending(fields)?;
                fields.whole("spent-us")?;
                let row = fields.text();
                read_load(&self.names.columns, row, fields).map(drop)
            }
            "PEER" => {
                let author = u16::try_from(fields.whole("author")?).unwrap_or(u16::MAX);
                let content = fields.text().unwrap_or("");
                let decoded = STANDARD.decode(content);
                let bytes = decoded.map_err(|_| fields.complain("content", "base64", content))?;
                // What is no digest is none of ours.
                let _ = self.rounds.as_mut().and_then(|rounds| rounds.hear(author, &bytes, now));
                Ok(())
            }
            "OPENED" => {
                fields.whole("req")?;
                fields.need("engine", "an address")?;
                fields.whole("spent-us")?;
                fields.whole("hop").map(drop)
            }
            _ => fields.need("tag", "a token").map(drop),
        }
    }

    fn listed(
        &mut self,
        now: f64,
        sheets: &HashMap<u64, Vec<Entry>>,
        fields: &mut Fields,
    ) -> Result<(), Complaint> {
        let sheet = fields.maybe::<u64>("ref", "a sheet's number")?;
        let how = fields.need("how", "diff, snapshot, disk or error")?;
        fields.maybe::<u64>("revision", "a whole number")?;
        let whole = match how {
            "diff" => false,
            "snapshot" | "disk" => true,
            "error" => {
                self.gateway.list_failed(now);
                return Ok(());
            }
            other => return Err(fields.complain("how", "diff, snapshot, disk or error", other)),
        };
        let Some(entries) = sheet.and_then(|sheet| sheets.get(&sheet)) else {
            let got = sheet.map_or("nothing".to_string(), |sheet| sheet.to_string());
            return Err(fields.complain("ref", "a sheet that was sent", &got));
        };
        let listings: Vec<EngineListing> = entries
            .iter()
            .map(|entry| EngineListing {
                engine: self.ids.engine(&entry.address),
                name_hash: name_hash(&entry.address),
                zone: start::index_of(&mut self.names.zones, &entry.zone),
                kind: start::index_of(&mut self.names.kinds, &entry.kind),
                cell: entry.cell,
                started_at: entry.since,
                stage: entry.stage,
            })
            .collect();
        for listing in &listings {
            let incarnation = start::engine_incarnation(listing);
            self.incarnations.resize(self.incarnations.len().max(listing.engine + 1), incarnation);
            self.incarnations[listing.engine] = incarnation;
        }
        self.gateway.engines_listed(now, &listings, whole);
        Ok(())
    }

    /// Who is to be told what of engines now.
    fn tells(&mut self, now: f64) -> Option<(Vec<u16>, Vec<u8>)> {
        let met = |at: usize| {
            self.gateway.evidence(at, now).map(|met| (met.successes, met.failures, met.slow_start_work))
        };
        let incarnations = self.incarnations.iter().enumerate();
        self.rounds.as_mut()?.due(now, || {
            digest::observations(incarnations.filter_map(|(at, incarnation)| Some((*incarnation, met(at)?))))
        })
    }

    /// Hands the decisions what others say of each engine.
    fn hear_peers(&mut self, now: f64) {
        let Some(rounds) = self.rounds.as_ref().filter(|_| now >= self.hear_at) else { return };
        self.hear_at = now + HEARS;
        for (at, incarnation) in self.incarnations.iter().enumerate() {
            let PeerEvidence { good, bad, sent, .. } = rounds.said(incarnation, now);
            self.gateway.peer_evidence_received(
                at,
                EngineEvidence { successes: good, failures: bad, slow_start_work: sent },
            );
        }
    }

    fn call(&mut self, now: f64, fields: &mut Fields) -> Result<(), Complaint> {
        let wire_id = fields.whole("req")?;
        let cost = fields.maybe::<u64>("plan-cost-us", "a whole number")?;
        let tenant = fields.text();
        let tenant = self.tenants.as_ref().map_or(0, |tenants| tenants.of(tenant));
        let key = fields.text();
        let key = match key {
            None => None,
            Some(text) => Some(
                u64::from_str_radix(text, 16)
                    .map_err(|_| fields.complain("object", "16 hex digits", text))?,
            ),
        };
        let class = fields.need("tier-class", "a class")?;
        let memory = fields.number("mem-mb")?;
        let table_group = fields.number("schema-no")?.unwrap_or(0.0);
        let bits = fields.maybe::<u64>("state-bits", "a whole number")?.unwrap_or(0);
        let deadline = seconds(fields.whole("valid-until-us")?);
        let Some(class) = self.names.classes.iter().position(|name| name == class) else {
            return Err(fields.complain("tier-class", "a class named at the start", class));
        };
        let request = self.ids.next_request;
        self.ids.next_request += 1;
        self.ids.requests.insert(request, WireRequest { id: wire_id, out: 0, over: false });
        self.ids.request_of.insert(wire_id, request);
        let taken = IncomingRequest {
            class,
            key,
            table_group: table_group.to_bits(),
            estimated_work: cost.filter(|&cost| bits & 1 == 1 && cost > 0).map(seconds),
            estimated_memory_mb: memory.filter(|&memory| memory > 0.0),
            deadline,
            tenant,
            earlier_attempt_at: None,
        };
        self.gateway.request_received(now, request, taken);
        Ok(())
    }

    fn outcome(&mut self, now: f64, fields: &mut Fields) -> Result<(), Complaint> {
        let wire_id = fields.whole("req")?;
        let told = fields.maybe::<u64>("true-cost", "a whole number")?.filter(|&told| told > 0);
        fields.whole("hop")?;
        let engine = self.ids.engine(fields.need("engine", "an address")?);
        let ending = read_ending(fields)?;
        let request_done = fields.flag("no-more")?;
        let spent = seconds(fields.whole("spent-us")?);
        let row = fields.text();
        let load = read_load(&self.names.columns, row, fields)?;
        let Some(&request) = self.ids.request_of.get(&wire_id) else { return Ok(()) };
        if let Some(name) = self.ids.requests.get_mut(&request) {
            name.out = name.out.saturating_sub(1);
            name.over |= request_done;
        }
        let measured = told.map(|told| MeasuredCost {
            work: (told / 4096) as f64 / 1e3,
            memory_mb: (told % 4096) as f64 * 4.0,
        });
        self.gateway.attempt_ended(
            now,
            &AttemptEnd { request, engine, outcome: ending, request_done, elapsed: spent, measured, load },
        );
        self.ids.drop_if_done(request);
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const BEGIN: &str = "BEGIN router_1 7 balancers=1 categories.count=1 categories.0.name=look \
        categories.0.objective-us=1000000 categories.0.idempotency=safe limits.max-attempts=3 \
        shapes=std zones=a family-info.cores-by-kind=8 unheard-of.setting=3";

    /// Feeds lines to a host; its last reply, or its complaint.
    fn feed(host: &mut Host, lines: &[&str]) -> Result<String, String> {
        let mut last = String::new();
        for (number, line) in lines.iter().enumerate() {
            last = host.line(number as u64 + 1, line).map_err(|complaint| complaint.0)?.unwrap_or(last);
        }
        Ok(last)
    }

    fn started() -> Host {
        let mut host = Host::default();
        let lines = ["MARK 1000000 1", BEGIN, "SHEET 0 1", "ENTRY - std a 10.0.0.1:1 Ready 0 1"];
        feed(&mut host, &lines).unwrap();
        feed(&mut host, &["BACKENDS_CHANGED router_1 0 disk 1", "EOB"]).unwrap();
        host
    }

    #[test]
    fn a_call_is_assigned_and_its_batch_acknowledged() {
        let call = "CALL router_1 77 - - - look - 11 0 9000000";
        let reply = feed(&mut started(), &["MARK 2000000 2", call, "EOB"]).unwrap();
        assert!(reply.contains("ASSIGN router_1 77 0 10.0.0.1:1\n"), "{reply}");
        assert!(reply.ends_with("ACK 2\n"));
    }

    #[test]
    fn an_empty_batch_is_acknowledged() {
        assert_eq!(feed(&mut Host::default(), &["MARK 5 9", "EOB", ""]).unwrap(), "ACK 9\n");
    }

    #[test]
    fn a_list_number_given_anew_in_a_batch_means_the_newer_list() {
        let mut host = started();
        let lines = ["MARK 2000000 2", "SHEET 0 1", "ENTRY - std a 10.0.0.2:1 Ready 0 1"];
        feed(&mut host, &lines).unwrap();
        feed(&mut host, &["BACKENDS_CHANGED router_1 0 snapshot 2", "SHEET 0 0"]).unwrap();
        let reply = feed(&mut host, &["CALL router_1 5 - - - look - 11 0 9000000", "EOB"]).unwrap();
        assert!(reply.contains("10.0.0.2:1"), "{reply}");
    }

    #[test]
    fn a_killed_instance_knows_nothing_when_it_begins_again_in_the_same_batch() {
        let mut host = started();
        let call = "CALL router_1 77 - - - look - 11 0 9000000";
        feed(&mut host, &["MARK 2000000 2", call, "KILLED router_1", BEGIN]).unwrap();
        let reply = feed(&mut host, &["WITHDRAWN router_1 77", "EOB"]).unwrap();
        assert!(!reply.contains(" 77 "), "{reply}");
    }

    #[test]
    fn bad_input_is_named_by_line_field_and_what_was_expected() {
        let bad = |line: &str| feed(&mut started(), &["MARK 2000000 2", line, "EOB"]).unwrap_err();
        let call = "CALL router_1 77 - - - look - 11 0 soon";
        assert_eq!(bad(call), "line 2: CALL: field valid-until-us: expected a whole number, got \"soon\"");
        assert!(bad("CALL router_1").contains("field req: expected a whole number, got \"nothing\""));
        assert!(bad("BACKENDS_CHANGED router_1 9 diff 2").contains("field ref: expected a sheet"));
        assert!(bad("CALL router_8 1").contains("expected an instance that has begun"));
        assert!(bad("HELLO router_1").contains("expected an event of the wire page"));
        assert!(bad("PEER router_1 2 ?").contains("field content: expected base64"));
        assert!(bad("BEGIN router_2 1 balancers=many").contains("setting balancers: expected a number"));
        assert!(bad("SHEET 3 2").contains("2 more ENTRY lines"));
    }

    #[test]
    fn instances_tell_each_other_of_an_engine_that_failed_them_only_where_both_sides_allow_it() {
        for (tells, peers, wanted) in [(true, 1, true), (false, 1, false), (true, 0, false)] {
            let mut host = Host { tells, ..Host::default() };
            let begin =
                BEGIN.replace("balancers=1", "balancers=3 self-index=1") + &format!(" limits.peers={peers}");
            let lines = ["MARK 1000000 1", &begin, "SHEET 0 1", "ENTRY - std a 10.0.0.1:1 Ready 0 1"];
            feed(&mut host, &lines).unwrap();
            let call = "CALL router_1 77 - - - look - 11 0 9000000";
            feed(&mut host, &["BACKENDS_CHANGED router_1 0 disk 1", call, "EOB"]).unwrap();
            let failed = "OUTCOME router_1 77 - 0 10.0.0.1:1 err 0 100000 -";
            let reply = feed(&mut host, &["MARK 2000000 2", failed, "PEER router_1 2 AAAA", "EOB"]).unwrap();
            assert_eq!(reply.contains("POST router_1 "), wanted, "{reply}");
            assert!(!reply.contains("POST router_1 1 "), "not to itself: {reply}");
        }
    }

    #[test]
    fn settings_at_their_edges_are_no_cause_for_panic() {
        for settings in ["", "balancers=0", "shapes= zones= limits.max-attempts=0 rules.look-back-us=0"] {
            let mut host = Host::default();
            let begin = format!("BEGIN router_1 7 {settings} categories.count=1 categories.0.name=look");
            feed(&mut host, &["MARK 1 1", &begin, "SHEET 0 1", "ENTRY - x y e:1 Ready 0 1"]).unwrap();
            feed(&mut host, &["BACKENDS_CHANGED router_1 0 disk 1"]).unwrap();
            let reply = feed(&mut host, &["CALL router_1 5 - - - look - 11 0 900", "EOB"]).unwrap();
            assert!(!reply.contains("FAULT"), "{reply}");
        }
    }
}
