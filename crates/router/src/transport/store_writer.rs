//! The store's thread, and around it the way back to full service (`cleatgw-recovery`). The event loop never waits for a disk:
//! it leaves the newest snapshot to be written, and looks in each turn whether something was answered.

use crate::routing::{Counters, Routing};
use crate::status_row::StatusRow;
use cleatgw_deployment_config::name_hash;
use cleatgw_operator_config::StoreFile;
use cleatgw_recovery::{
    LookBack, Phase, Pieces, Recovery, SnapshotTime, Step, WriteSchedule, MAX_UNPERSISTED_RETRIES,
};
use cleatgw_snapshot_store::{quarantine_path, LoadOutcome, Store, StoreError};
use rustix::time::{clock_gettime, ClockId};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, Sender, TryRecvError};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// A store that can't be opened is tried again so often.
const OPEN_RETRY: Duration = Duration::from_secs(1);
/// A store is written to again so long after a failure.
const WRITE_RETRY: Duration = Duration::from_millis(250);
/// Where the system tells which boot of the machine this is.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";
const NANOSECONDS: f64 = 1e9;

/// What the store's thread reports.
enum StoreEvent {
    /// What it found at the start.
    Found(cleatgw_recovery::StoreContents),
    /// What was there can't be used, and why.
    SetAside(String),
    /// No file can be had, or a write failed.
    Failed(StoreError),
    /// A snapshot is on the disk, under this epoch.
    Written(u64),
}

/// A snapshot that is to be written.
struct PendingSnapshot {
    pieces: Pieces,
    /// Unix time in seconds.
    taken_at: f64,
}

/// What the event loop leaves for the store's thread.
#[derive(Default)]
struct Mailbox {
    pending: Option<PendingSnapshot>,
    /// Later snapshots have later epochs than this.
    epoch_after: u64,
}

#[derive(Default)]
struct SharedMailbox {
    mailbox: Mutex<Mailbox>,
    filled: Condvar,
}

impl SharedMailbox {
    /// Changes the mailbox, unless its other side has panicked.
    fn change(&self, change: impl FnOnce(&mut Mailbox)) {
        if let Ok(mut mailbox) = self.mailbox.lock() {
            change(&mut mailbox);
        }
    }

    /// Waits for a snapshot, and which epoch it has to come after; none where the other side has panicked.
    fn wait(&self) -> Option<(PendingSnapshot, u64)> {
        let mailbox = self.mailbox.lock().ok()?;
        let mut mailbox = self.filled.wait_while(mailbox, |mailbox| mailbox.pending.is_none()).ok()?;
        let epoch_after = mailbox.epoch_after;
        Some((mailbox.pending.take()?, epoch_after))
    }
}

/// The store's thread: opens the store, reports what it found, then writes whatever was left last.
fn run_store(path: &Path, owner: u64, mailbox: &SharedMailbox, events: &Sender<StoreEvent>) {
    let Some(mut store) = open_store(path, owner, events) else { return };
    while let Some((snapshot, epoch_after)) = mailbox.wait() {
        store.continue_after(epoch_after);
        let written = store.save(&snapshot.pieces, snapshot.taken_at);
        let has_failed = written.is_err();
        let event = match written {
            Ok(epoch) => StoreEvent::Written(epoch),
            Err(error) => StoreEvent::Failed(error),
        };
        if events.send(event).is_err() {
            return;
        }
        let length = std::fs::metadata(path).map_or(0, |file| file.len());
        // A file that is not compacted is only longer.
        let _ = store.compact(length);
        if has_failed {
            std::thread::sleep(WRITE_RETRY);
        }
    }
}

/// Opens the store, as often as it takes; none where nobody listens any more.
fn open_store(path: &Path, owner: u64, events: &Sender<StoreEvent>) -> Option<Store> {
    loop {
        match Store::open_file(path, owner) {
            Ok((store, found)) => {
                report_found(found, events);
                return Some(store);
            }
            Err(error) => {
                events.send(StoreEvent::Failed(error)).ok()?;
                std::thread::sleep(OPEN_RETRY);
            }
        }
    }
}

/// Nobody listens where a send fails: the router has ended.
fn report_found(found: LoadOutcome, events: &Sender<StoreEvent>) {
    let found = match found {
        LoadOutcome::Complete(put) => Some((put.epoch, put.pieces)),
        LoadOutcome::Empty => None,
        LoadOutcome::Quarantined(reason) => {
            let _ = events.send(StoreEvent::SetAside(reason.to_string()));
            None
        }
    };
    let _ = events.send(StoreEvent::Found(found));
}

/// The present time on both clocks.
fn snapshot_time(boot: u64, unix: f64) -> SnapshotTime {
    let since = clock_gettime(ClockId::Boottime);
    SnapshotTime { boot, since_boot: since.tv_sec as f64 + since.tv_nsec as f64 / NANOSECONDS, unix }
}

pub struct StoreWriter {
    path: PathBuf,
    boot: u64,
    look_back: LookBack,
    mailbox: Arc<SharedMailbox>,
    events: Receiver<StoreEvent>,
    recovery: Recovery,
    schedule: WriteSchedule,
    /// The epoch of the last snapshot that is on the disk, and when that was known.
    epoch: u64,
    written_at: f64,
    /// The latest epoch that peers say they were shown.
    epoch_seen: Option<u64>,
    persisted_changes: u64,
    is_failing: bool,
    counters: Counters,
}

impl StoreWriter {
    /// Persists this router's snapshots from now on; `owner` ties the file to it. `has_peers` tells whether others can be asked
    /// which epoch they were shown.
    ///
    /// # Errors
    /// No thread can be had.
    pub fn open(
        file: StoreFile,
        owner: u64,
        look_back: LookBack,
        has_peers: bool,
        now: f64,
    ) -> std::io::Result<StoreWriter> {
        let (sender, events) = channel();
        let mailbox = Arc::<SharedMailbox>::default();
        let path = file.path.clone();
        let shared = mailbox.clone();
        let thread = std::thread::Builder::new().name("store".to_string());
        thread.spawn(move || run_store(&path, owner, &shared, &sender))?;
        // Where it can't be told which boot this is, only the Unix clock counts.
        let boot = std::fs::read_to_string(BOOT_ID);
        Ok(StoreWriter {
            path: file.path,
            boot: boot.map_or(0, |boot| name_hash(boot.trim())),
            look_back,
            mailbox,
            events,
            recovery: Recovery::new(look_back, has_peers, now),
            schedule: WriteSchedule::new(now),
            epoch: 0,
            written_at: f64::NEG_INFINITY,
            epoch_seen: None,
            persisted_changes: 0,
            is_failing: false,
            counters: Counters::default(),
        })
    }

    /// Takes what the store's thread has reported.
    fn take_events(&mut self, now: f64) {
        loop {
            match self.events.try_recv() {
                Ok(event) => self.handle_event(event, now),
                Err(TryRecvError::Empty) => return,
                Err(TryRecvError::Disconnected) => {
                    self.thread_ended();
                    return;
                }
            }
        }
    }

    /// Nothing is persisted any more, and that is logged once.
    fn thread_ended(&mut self) {
        if !std::mem::replace(&mut self.is_failing, true) {
            log::error!("store: {}: its thread has failed; nothing is kept", self.path.display());
        }
    }

    fn handle_event(&mut self, event: StoreEvent, now: f64) {
        match event {
            StoreEvent::Found(found) => {
                let epoch = found.as_ref().map_or(0, |(epoch, _)| *epoch);
                self.epoch = self.epoch.max(epoch);
                self.recovery.store_read(found, now);
            }
            StoreEvent::SetAside(reason) => {
                let aside = quarantine_path(&self.path);
                log::warn!("store: what was there is set aside as {}: {reason}", aside.display());
            }
            StoreEvent::Failed(error) => {
                self.schedule.finished(false);
                self.counters.store_failed += 1;
                if !std::mem::replace(&mut self.is_failing, true) {
                    log::warn!("store: {}: {error}; nothing is kept for now", self.path.display());
                }
            }
            StoreEvent::Written(epoch) => {
                self.schedule.finished(true);
                self.epoch = self.epoch.max(epoch);
                self.written_at = now;
                self.counters.store_puts += 1;
                if std::mem::replace(&mut self.is_failing, false) {
                    log::info!("store: kept again, epoch {epoch}");
                }
            }
        }
    }

    /// Its turn, ahead of the decisions': `now` is the monotonic clock, `unix` that of the decisions. `epoch_seen` is what peers say
    /// that they were shown; what they are to be shown is returned.
    pub fn turn(&mut self, now: f64, unix: f64, epoch_seen: Option<u64>, routing: &mut Routing) -> u64 {
        self.take_events(now);
        self.note_epoch_seen(epoch_seen);
        for step in self.recovery.poll(now, &snapshot_time(self.boot, unix)) {
            self.carry_out(step, now, unix, routing);
        }
        self.log_slowness(now);
        let changes = routing.persisted_changes();
        if std::mem::replace(&mut self.persisted_changes, changes) != changes {
            self.schedule.changed();
        }
        // Before it is known what is on the disk, that is not written over.
        if self.recovery.phase() > Phase::Proving && self.schedule.begin_if_due(now) {
            self.leave_snapshot(unix, routing);
        }
        // The decisions' times are on the Unix clock; those of the schedule since the start.
        let began = unix - now;
        let retries = routing.retries().map(|at| at - began);
        let allowance = self.schedule.retry_allowance(retries, self.look_back.retries, now);
        routing.limit_unpersisted_retries(allowance);
        self.epoch
    }

    fn note_epoch_seen(&mut self, epoch_seen: Option<u64>) {
        if epoch_seen == self.epoch_seen {
            return;
        }
        let Some(epoch) = epoch_seen else { return };
        self.epoch_seen = epoch_seen;
        self.recovery.peer_saw_epoch(epoch);
        self.mailbox.change(|mailbox| mailbox.epoch_after = mailbox.epoch_after.max(epoch));
    }

    fn log_slowness(&mut self, now: f64) {
        match self.schedule.slow_changed(now) {
            Some(true) => log::warn!(
                "store: the disk does not answer; at most {MAX_UNPERSISTED_RETRIES} retries in a window"
            ),
            Some(false) => log::info!("store: the disk answers again"),
            None => {}
        }
    }

    fn leave_snapshot(&mut self, unix: f64, routing: &mut Routing) {
        let snapshot = routing.snapshot(unix, snapshot_time(self.boot, unix));
        let pending = PendingSnapshot { pieces: snapshot.to_pieces(), taken_at: unix };
        self.mailbox.change(|mailbox| mailbox.pending = Some(pending));
        self.mailbox.filled.notify_one();
    }

    fn carry_out(&mut self, step: Step, now: f64, unix: f64, routing: &mut Routing) {
        match step {
            Step::AssumeLostHistory => routing.assume_lost_history(unix),
            Step::RestoreHistory(history) => {
                let retries = history.retries.len();
                let records = history.idempotency_records.len();
                log::info!(
                    retries = retries, records = records, slow_start = history.slow_start.len();
                    "recovery: {retries} retries and {records} idempotency keys of before still count"
                );
                routing.restore_history(unix, history);
            }
            Step::Discarded(reason) => log::warn!("recovery without what was kept: {}", reason.as_str()),
            Step::Entered(phase) => {
                let age = self.recovery.age(now);
                log::info!(phase = phase.as_str(), after = age; "recovery: {} after {age:.2} s", phase.as_str());
            }
        }
    }

    /// When its next turn is due, on the monotonic clock.
    pub fn due(&self) -> f64 {
        self.recovery.due().min(self.schedule.due())
    }

    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// How recovery and the store stand.
    pub fn status(&self, now: f64) -> Vec<StatusRow> {
        let age = format!("{:.1} s after the start", self.recovery.age(now));
        let state = if self.is_failing {
            "failing"
        } else if self.schedule.slow {
            "silent"
        } else {
            "kept"
        };
        let ago = now - self.written_at;
        let last =
            if ago.is_finite() { format!("last put {ago:.2} s ago") } else { "nothing put".to_string() };
        vec![
            StatusRow::new("coming back", self.recovery.phase().as_str(), age),
            StatusRow::new(
                format!("store {}", self.path.display()),
                state,
                format!("epoch {}, {last}", self.epoch),
            ),
        ]
    }
}
