//! Holds the gateway instances of the process. Reads the batches of the wire protocol, and answers each with the
//! actions of the instances that had events in it.

use crate::engine_list::EngineLists;
use crate::error::WireError;
use crate::fields::Fields;
use crate::instance::Instance;
use crate::reply_writer::write_line;
use crate::units::seconds;
use cleatgw_operator_config::TeamsFile;
use std::any::Any;
use std::collections::HashMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// The messages that are events of one instance. Their first field is the instance's name.
const INSTANCE_EVENTS: [&str; 11] = [
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

/// The state of the process.
pub struct Host {
    /// The time of the current batch, in seconds.
    now: f64,
    /// The number of the current batch.
    batch: u64,
    in_batch: bool,
    instances: HashMap<String, Instance>,
    /// The instances that had events in the current batch, in the order of their first events.
    active: Vec<String>,
    lists: EngineLists,
    /// The `FAULT` lines of the instances that panicked in the current batch.
    faults: String,
    teams: Option<TeamsFile>,
    /// Whether instances may send each other digests of what they observe of engines.
    sends_digests: bool,
}

impl Host {
    /// A process without instances. `teams` is the teams file of all instances. With `sends_digests`, instances whose
    /// deployment allows it send each other digests of what they observe of engines.
    pub fn new(teams: Option<TeamsFile>, sends_digests: bool) -> Host {
        Host {
            now: 0.0,
            batch: 0,
            in_batch: false,
            instances: HashMap::new(),
            active: Vec::new(),
            lists: EngineLists::default(),
            faults: String::new(),
            teams,
            sends_digests,
        }
    }

    /// Whether a batch has begun and not ended.
    pub fn in_batch(&self) -> bool {
        self.in_batch
    }

    /// Handles one line. Returns the reply if the line ends a batch.
    ///
    /// # Errors
    /// A line that is malformed or not allowed here.
    pub fn read_line(&mut self, line_number: u64, text: &str) -> Result<Option<String>, WireError> {
        let mut fields = Fields::new(line_number, text);
        let message = fields.message();
        self.lists.check_expected(&fields)?;
        match (message, self.in_batch) {
            ("MARK", false) => self.begin_batch(&mut fields)?,
            ("", false) => {}
            (_, false) => return Err(fields.error("message", "MARK", message)),
            ("MARK", true) => return Err(fields.error("message", "an event or EOB", message)),
            ("EOB", true) => return Ok(Some(self.end_batch())),
            ("SHEET", true) => self.lists.begin(&mut fields)?,
            ("ENTRY", true) => self.lists.add(&mut fields)?,
            _ if INSTANCE_EVENTS.contains(&message) => self.handle_instance_event(&mut fields)?,
            _ => return Err(fields.error("message", "an event of the wire page", message)),
        }
        Ok(None)
    }

    fn begin_batch(&mut self, fields: &mut Fields) -> Result<(), WireError> {
        self.now = seconds(fields.integer("now")?);
        self.batch = fields.integer("batch number")?;
        self.in_batch = true;
        Ok(())
    }

    fn handle_instance_event(&mut self, fields: &mut Fields) -> Result<(), WireError> {
        let name = fields.required("i", "an instance")?;
        match fields.message() {
            "BEGIN" => {
                let instance = Instance::begin(self.now, fields, self.teams.as_ref(), self.sends_digests)?;
                self.instances.insert(name.to_string(), instance);
                self.mark_active(name);
            }
            "KILLED" => self.remove(name),
            _ => self.pass_event(name, fields)?,
        }
        Ok(())
    }

    /// Passes an event to an instance that has begun. An instance that panics is removed.
    fn pass_event(&mut self, name: &str, fields: &mut Fields) -> Result<(), WireError> {
        let Some(instance) = self.instances.get_mut(name) else {
            return Err(fields.error("i", "an instance that has begun", name));
        };
        let now = self.now;
        let lists = &self.lists;
        match catch_unwind(AssertUnwindSafe(|| instance.event(now, lists, fields))) {
            Ok(result) => {
                result?;
                self.mark_active(name);
            }
            Err(panic) => self.instance_panicked(name, &*panic),
        }
        Ok(())
    }

    fn mark_active(&mut self, name: &str) {
        if !self.active.iter().any(|active| active == name) {
            self.active.push(name.to_string());
        }
    }

    fn remove(&mut self, name: &str) {
        self.instances.remove(name);
        self.active.retain(|active| active != name);
    }

    /// Writes a `FAULT` line and removes the instance.
    fn instance_panicked(&mut self, name: &str, panic: &(dyn Any + Send)) {
        let text = panic.downcast_ref::<String>().map(String::as_str);
        let text = text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("panic");
        write_line(&mut self.faults, format_args!("FAULT {name} {}", text.replace('\n', " ")));
        self.remove(name);
    }

    /// Runs a round of each active instance. Returns their actions, the faults and the acknowledgement.
    fn end_batch(&mut self) -> String {
        let mut reply = String::new();
        for name in std::mem::take(&mut self.active) {
            let Some(instance) = self.instances.get_mut(&name) else { continue };
            let now = self.now;
            if let Err(panic) = catch_unwind(AssertUnwindSafe(|| instance.decide(now, &name, &mut reply))) {
                self.instance_panicked(&name, &*panic);
            }
        }
        reply += &std::mem::take(&mut self.faults);
        self.in_batch = false;
        write_line(&mut reply, format_args!("ACK {}", self.batch));
        reply
    }
}

#[cfg(test)]
mod tests;
