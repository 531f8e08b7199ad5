//! Persists snapshots of the router's state on a thread of its own, and drives the recovery after a restart
//! (`cleatgw-recovery`). The event loop never waits for the disk: it hands the newest snapshot to the thread, and
//! checks for reports of the thread in each turn.
//!
//! Each snapshot has an epoch, a number that grows with each write. It is sent to the other routers, so that a
//! restarted router can tell whether its file is the last one that was written.

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

/// Delay before a store that could not be opened is tried again.
const OPEN_RETRY: Duration = Duration::from_secs(1);
/// Delay after a failed write before the next one.
const WRITE_RETRY: Duration = Duration::from_millis(250);
/// File in which the system identifies the current boot of the machine.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";
const NANOSECONDS: f64 = 1e9;

/// A report of the store's thread to the event loop.
enum StoreEvent {
    /// The contents of the store at the start.
    Found(cleatgw_recovery::StoreContents),
    /// The existing file could not be used and was moved aside, with the reason.
    Quarantined(String),
    /// The store could not be opened, or a write failed.
    Failed(StoreError),
    /// A snapshot was written to the disk under this epoch.
    Written(u64),
}

/// A snapshot to be written.
struct PendingSnapshot {
    pieces: Pieces,
    /// When the snapshot was taken, in Unix seconds.
    taken_at: f64,
}

/// What the event loop hands to the store's thread.
#[derive(Default)]
struct Mailbox {
    /// The newest snapshot; it replaces an older one that the thread has not picked up.
    pending: Option<PendingSnapshot>,
    /// The next snapshot is written under a later epoch than this.
    epoch_after: u64,
}

#[derive(Default)]
struct SharedMailbox {
    mailbox: Mutex<Mailbox>,
    filled: Condvar,
}

impl SharedMailbox {
    /// Updates the mailbox. Does nothing if the other thread has panicked while it held the lock.
    fn update(&self, update: impl FnOnce(&mut Mailbox)) {
        if let Ok(mut mailbox) = self.mailbox.lock() {
            update(&mut mailbox);
        }
    }

    /// Waits for a snapshot, and returns it with the epoch that its own epoch must exceed. Returns `None` if the other
    /// thread has panicked while it held the lock.
    fn wait(&self) -> Option<(PendingSnapshot, u64)> {
        let mailbox = self.mailbox.lock().ok()?;
        let mut mailbox = self.filled.wait_while(mailbox, |mailbox| mailbox.pending.is_none()).ok()?;
        let epoch_after = mailbox.epoch_after;
        Some((mailbox.pending.take()?, epoch_after))
    }
}

/// The body of the store's thread: opens the store, reports its contents, then writes the newest snapshot whenever
/// there is one.
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
        // A failed compaction can be ignored: the file is only larger than necessary.
        let _ = store.compact(length);
        if has_failed {
            std::thread::sleep(WRITE_RETRY);
        }
    }
}

/// Opens the store, retrying until it succeeds. Returns `None` if the receiver of events is gone.
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

/// Reports the contents of the store. A failed send is ignored: it means that the router has ended.
fn report_found(outcome: LoadOutcome, events: &Sender<StoreEvent>) {
    let found = match outcome {
        LoadOutcome::Complete(snapshot) => Some((snapshot.epoch, snapshot.pieces)),
        LoadOutcome::Empty => None,
        LoadOutcome::Quarantined(reason) => {
            let _ = events.send(StoreEvent::Quarantined(reason.to_string()));
            None
        }
    };
    let _ = events.send(StoreEvent::Found(found));
}

/// The current time on the clock since the machine's boot and on the Unix clock.
fn snapshot_time(boot: u64, unix: f64) -> SnapshotTime {
    let since_boot = clock_gettime(ClockId::Boottime);
    let since_boot = since_boot.tv_sec as f64 + since_boot.tv_nsec as f64 / NANOSECONDS;
    SnapshotTime { boot, since_boot, unix }
}

pub struct StoreWriter {
    path: PathBuf,
    /// A hash that identifies the current boot of the machine; 0 if the system does not tell it.
    boot: u64,
    look_back: LookBack,
    mailbox: Arc<SharedMailbox>,
    events: Receiver<StoreEvent>,
    recovery: Recovery,
    schedule: WriteSchedule,
    /// The epoch of the last snapshot on the disk.
    epoch: u64,
    /// When this process learned of its last completed write, on the monotonic clock; minus infinity before the first.
    written_at: f64,
    /// The latest epoch of this store that other routers report to have received.
    epoch_seen: Option<u64>,
    /// Routing's count of changes to persisted state when it was last read.
    persisted_changes: u64,
    /// The last attempt to open or write the store failed, or the thread has ended.
    is_failing: bool,
    counters: Counters,
}

impl StoreWriter {
    /// Starts the store's thread, which persists this router's snapshots. `owner` identifies the router to which the
    /// file belongs. `has_peers` says whether there are other routers that can report which epoch they received.
    ///
    /// # Errors
    /// The thread can't be started.
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
        // If the boot can't be identified, ages are taken from the Unix clock alone.
        let boot_id = std::fs::read_to_string(BOOT_ID);
        Ok(StoreWriter {
            path: file.path,
            boot: boot_id.map_or(0, |boot_id| name_hash(boot_id.trim())),
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

    /// Handles the reports of the store's thread.
    fn take_events(&mut self, now: f64) {
        loop {
            match self.events.try_recv() {
                Ok(event) => self.handle_event(event, now),
                Err(TryRecvError::Empty) => return,
                Err(TryRecvError::Disconnected) => {
                    self.handle_thread_end();
                    return;
                }
            }
        }
    }

    /// Logs once that the store's thread has ended, so that nothing is persisted any more.
    fn handle_thread_end(&mut self) {
        if !std::mem::replace(&mut self.is_failing, true) {
            log::error!(
                "store: {}: the writer thread has ended unexpectedly; no more snapshots are saved until a restart",
                self.path.display()
            );
        }
    }

    fn handle_event(&mut self, event: StoreEvent, now: f64) {
        match event {
            StoreEvent::Found(found) => {
                let epoch = found.as_ref().map_or(0, |(epoch, _)| *epoch);
                self.epoch = self.epoch.max(epoch);
                self.recovery.store_read(found, now);
            }
            StoreEvent::Quarantined(reason) => {
                let quarantined = quarantine_path(&self.path);
                log::warn!(
                    "store: the existing file can't be used and is set aside as {}: {reason}",
                    quarantined.display()
                );
            }
            StoreEvent::Failed(error) => {
                self.schedule.finished(false);
                self.counters.store_write_failures += 1;
                if !std::mem::replace(&mut self.is_failing, true) {
                    log::warn!(
                        "store: {}: {error}; snapshots are not saved until a retry succeeds",
                        self.path.display()
                    );
                }
            }
            StoreEvent::Written(epoch) => {
                self.schedule.finished(true);
                self.epoch = self.epoch.max(epoch);
                self.written_at = now;
                self.counters.store_writes += 1;
                if std::mem::replace(&mut self.is_failing, false) {
                    log::info!("store: snapshots are saved again, epoch {epoch}");
                }
            }
        }
    }

    /// Runs the store's turn, which comes before routing's. `now` is on the monotonic clock, `unix` on the Unix clock
    /// that routing uses. `epoch_seen` is the latest epoch that other routers report to have received. Returns the
    /// epoch to send to them.
    pub fn turn(&mut self, now: f64, unix: f64, epoch_seen: Option<u64>, routing: &mut Routing) -> u64 {
        self.take_events(now);
        self.update_epoch_seen(epoch_seen);
        for step in self.recovery.poll(now, &snapshot_time(self.boot, unix)) {
            self.apply_step(step, now, unix, routing);
        }
        self.log_disk_state(now);
        let changes = routing.persisted_changes();
        if std::mem::replace(&mut self.persisted_changes, changes) != changes {
            self.schedule.changed();
        }
        // Until the contents of the disk are known and checked with the other routers, they must not be overwritten.
        if self.recovery.phase() > Phase::Proving && self.schedule.begin_if_due(now) {
            self.submit_snapshot(unix, routing);
        }
        // Routing's times are on the Unix clock, those of the schedule on the monotonic clock.
        let clock_offset = unix - now;
        let retries = routing.retries().map(|at| at - clock_offset);
        let allowance = self.schedule.retry_allowance(retries, self.look_back.retries, now);
        routing.limit_unpersisted_retries(allowance);
        self.epoch
    }

    fn update_epoch_seen(&mut self, epoch_seen: Option<u64>) {
        if epoch_seen == self.epoch_seen {
            return;
        }
        let Some(epoch) = epoch_seen else { return };
        self.epoch_seen = epoch_seen;
        self.recovery.peer_saw_epoch(epoch);
        self.mailbox.update(|mailbox| mailbox.epoch_after = mailbox.epoch_after.max(epoch));
    }

    fn log_disk_state(&mut self, now: f64) {
        match self.schedule.slow_changed(now) {
            Some(true) => log::warn!(
                "store: the disk does not answer; at most {MAX_UNPERSISTED_RETRIES} retries in {} s until it does",
                self.look_back.retries
            ),
            Some(false) => log::info!("store: the disk answers again"),
            None => {}
        }
    }

    fn submit_snapshot(&mut self, unix: f64, routing: &mut Routing) {
        let snapshot = routing.snapshot(unix, snapshot_time(self.boot, unix));
        let pending = PendingSnapshot { pieces: snapshot.to_pieces(), taken_at: unix };
        self.mailbox.update(|mailbox| mailbox.pending = Some(pending));
        self.mailbox.filled.notify_one();
    }

    fn apply_step(&mut self, step: Step, now: f64, unix: f64, routing: &mut Routing) {
        match step {
            Step::AssumeLostHistory => routing.assume_lost_history(unix),
            Step::RestoreHistory(history) => {
                let retries = history.retries.len();
                let records = history.idempotency_records.len();
                log::info!(
                    retries = retries, records = records, slow_start = history.slow_start.len();
                    "recovery: {retries} retries and {records} idempotency keys from before the restart still count"
                );
                routing.restore_history(unix, history);
            }
            Step::Discarded(reason) => log::warn!("recovery without stored history: {}", reason.as_str()),
            Step::Entered(phase) => {
                let age = self.recovery.age(now);
                log::info!(phase = phase.as_str(), after = age; "recovery: {} after {age:.2} s", phase.as_str());
            }
        }
    }

    /// When the next turn is due, on the monotonic clock in seconds.
    pub fn due(&self) -> f64 {
        self.recovery.due().min(self.schedule.due())
    }

    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// A status row for the recovery and one for the store.
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
        let last_write =
            if ago.is_finite() { format!("last put {ago:.2} s ago") } else { "nothing put".to_string() };
        vec![
            StatusRow::new("coming back", self.recovery.phase().as_str(), age),
            StatusRow::new(
                format!("store {}", self.path.display()),
                state,
                format!("epoch {}, {last_write}", self.epoch),
            ),
        ]
    }
}
