//! Writes the actions of an instance's decision core as lines of the wire protocol.

use crate::identities::Identities;
use crate::units::{micros, micros_not_before};
use base64::{engine::general_purpose::STANDARD, Engine as _};
use cleatgw::ActionWriter;
use std::fmt::Write as _;

/// Appends the actions of one instance to the reply to a batch.
pub struct ReplyWriter<'a> {
    pub instance: &'a str,
    pub identities: &'a mut Identities,
    pub reply: &'a mut String,
}

/// Appends a line to the reply.
pub fn write_line(reply: &mut String, line: std::fmt::Arguments) {
    reply.write_fmt(line).expect("writing to a string does not fail");
    reply.push('\n');
}

impl ActionWriter for ReplyWriter<'_> {
    fn set_priority_and_memory(&mut self, request: usize, lane: u8, memory_mb: f64) {
        let Some(id) = self.identities.request_id(request) else { return };
        write_line(self.reply, format_args!("PROVIDE {} {id} {lane} {:.1}", self.instance, memory_mb));
    }

    /// `_leave_by` is ignored, because an attempt leaves at once on this wire. A time-out of 0 on the wire stands for
    /// none.
    fn dispatch(&mut self, request: usize, engine: usize, time_out: Option<f64>, _leave_by: f64) {
        let Some(id) = self.identities.request_id(request) else { return };
        self.identities.attempt_sent(request);
        let time_out = time_out.map_or(0, |seconds| micros(seconds).max(1));
        let address = self.identities.address(engine);
        write_line(self.reply, format_args!("ASSIGN {} {id} {time_out} {address}", self.instance));
    }

    fn cancel(&mut self, request: usize, attempt: u32) {
        let Some(id) = self.identities.request_id(request) else { return };
        write_line(self.reply, format_args!("WITHDRAW {} {id} {attempt}", self.instance));
    }

    fn reject(&mut self, request: usize, retry_after: Option<f64>) {
        let Some(id) = self.identities.request_id(request) else { return };
        // A wait of 0 also stands for none.
        let wait = retry_after.map_or(0, micros);
        write_line(self.reply, format_args!("NOT_NOW {} {id} {wait}", self.instance));
        self.identities.answered(request);
    }

    fn fail(&mut self, request: usize) {
        let Some(id) = self.identities.request_id(request) else { return };
        write_line(self.reply, format_args!("DROP_REQUEST {} {id}", self.instance));
        self.identities.answered(request);
    }

    fn watch_engine_list(&mut self, on: bool) {
        write_line(self.reply, format_args!("LISTEN {} {}", self.instance, u8::from(on)));
    }

    fn fetch_engine_list(&mut self) {
        write_line(self.reply, format_args!("RESOLVE {}", self.instance));
    }

    fn probe(&mut self, engine: usize) {
        let address = self.identities.address(engine);
        write_line(self.reply, format_args!("HEALTH_CHECK {} {address}", self.instance));
    }

    fn close_idle(&mut self, engine: usize) {
        let address = self.identities.address(engine);
        write_line(self.reply, format_args!("CLOSE {} {address}", self.instance));
    }

    fn send_to_peers(&mut self, peer: Option<usize>, content: &[u8]) {
        let peer = peer.map_or("*".to_string(), |number| number.to_string());
        let content = if content.is_empty() { "-".to_string() } else { STANDARD.encode(content) };
        write_line(self.reply, format_args!("POST {} {peer} {content}", self.instance));
    }

    fn wake_at(&mut self, at: f64) {
        write_line(self.reply, format_args!("NOTIFY_ME {} due {}", self.instance, micros_not_before(at)));
    }

    fn log(&mut self, line: &str) {
        write_line(self.reply, format_args!("TRACE {} {}", self.instance, line.replace('\n', " ")));
    }
}
