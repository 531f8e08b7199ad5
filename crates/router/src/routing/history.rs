//! This router's history: what is persisted and restored so that the decision core keeps its limits over a restart, and
//! the observations of engines that routers exchange.

use super::engine_registry::RegisteredEngine;
use super::idempotency_records::IdempotencyRecords;
use super::Routing;
use cleatgw::{EngineEvidence, Idempotency, SlowStartWork};
use cleatgw_deployment_config::engine_incarnation;
use cleatgw_membership::digest::{self, EngineIncarnation, Observation, OwnEvidence, PeerEvidence};
use cleatgw_recovery::{
    AgedWork, LookBack, SentWork, Snapshot, SnapshotTime, ValidHistory, MAX_UNPERSISTED_RETRIES,
};

impl Routing {
    /// How far back the decision core's rules look, according to the deployment.
    pub fn look_back(&self) -> LookBack {
        let deployment = &self.state.deployment;
        let windows = deployment.classes.iter().filter_map(|class| match class.idempotency {
            Idempotency::Deduplicated { window, .. } => Some(window),
            _ => None,
        });
        LookBack {
            retries: self.gateway.retry_budget().window,
            slow_start: deployment.slow_start.window,
            deduplication: windows.fold(0.0, f64::max),
        }
    }

    /// Starts without a record of what this router sent before it was restarted, and assumes the worst case: the retry
    /// budget and the slow-start budgets count as used up until their windows have passed. The history is persisted
    /// from now on.
    pub fn assume_lost_history(&mut self, now: f64) {
        self.state.records = Some(IdempotencyRecords::default());
        self.gateway.assume_lost_history(now);
    }

    /// Restores the part of a former incarnation's history that is still valid. Work that was sent to engines which are
    /// no longer listed is left out.
    pub fn restore_history(&mut self, now: f64, history: ValidHistory) {
        let retries: Vec<f64> = history.retries.iter().map(|age| now - age).collect();
        let restored_work = |work: &AgedWork| {
            let sent_to = EngineIncarnation { name: work.sent.name_hash, incarnation: work.sent.incarnation };
            let is_receiver = |engine: &&RegisteredEngine| engine_incarnation(&engine.listing) == sent_to;
            let engine = self.state.engines.iter().find(is_receiver)?.listing.engine;
            Some(SlowStartWork { engine, sent_at: now - work.age, work: work.sent.work })
        };
        let slow_start: Vec<SlowStartWork> = history.slow_start.iter().filter_map(restored_work).collect();
        self.gateway.restore_history(&retries, &slow_start);
        let records = self.state.records.get_or_insert_default();
        records.restore(&history.idempotency_records, now);
    }

    /// A number that grows with every retry and every new idempotency record. Other changes of the persisted history
    /// are not counted.
    pub fn persisted_changes(&self) -> u64 {
        self.state.persisted_changes
    }

    /// The history to be persisted, with ages at `now`. `taken_at` is the same moment as Unix time and as the time
    /// since the boot.
    pub fn snapshot(&mut self, now: f64, taken_at: SnapshotTime) -> Snapshot {
        let look_back = self.look_back();
        let ages = self.gateway.retries().map(|at| (now - at).max(0.0));
        let retries = ages.filter(|age| *age < look_back.retries).collect();
        let sent_work = |engine: &RegisteredEngine| {
            let EngineIncarnation { name, incarnation } = engine_incarnation(&engine.listing);
            let work = self.gateway.evidence(engine.listing.engine, now)?.slow_start_work;
            (work > 0.0).then_some(SentWork { name_hash: name, incarnation, work })
        };
        let slow_start = self.state.engines.iter().filter_map(sent_work).collect();
        let records = self.state.records.get_or_insert_default();
        records.remove_before(now - look_back.idempotency_records());
        Snapshot {
            taken_at,
            retries,
            // As many retries may be made until the next snapshot is written. A restored history counts them as made.
            unpersisted_retries: MAX_UNPERSISTED_RETRIES,
            slow_start,
            idempotency_records: records.ages(now),
        }
    }

    /// The times of the recent retries, oldest first.
    pub fn retries(&self) -> impl Iterator<Item = f64> + '_ {
        self.gateway.retries()
    }

    /// Limits how many more retries may be made before the persisted history includes them.
    pub fn limit_unpersisted_retries(&mut self, allowance: u32) {
        self.gateway.limit_unpersisted_retries(allowance);
    }

    /// This router's recent observations of engines, for other routers.
    pub fn observations(&self) -> Vec<Observation> {
        let observation = |engine: &RegisteredEngine| {
            let evidence = self.gateway.evidence(engine.listing.engine, self.state.now)?;
            let EngineEvidence { successes, failures, slow_start_work } = evidence;
            let own = OwnEvidence { successes, failures, slow_start_work };
            Some((engine_incarnation(&engine.listing), own))
        };
        digest::observations(self.state.engines.iter().filter_map(observation))
    }

    /// Passes other routers' evidence on each engine to the decision core.
    pub fn set_peer_evidence(&mut self, evidence_on: impl Fn(&EngineIncarnation) -> PeerEvidence) {
        for engine in self.state.engines.iter() {
            let reported = evidence_on(&engine_incarnation(&engine.listing));
            let PeerEvidence { successes, failures, slow_start_work, .. } = reported;
            let evidence = EngineEvidence { successes, failures, slow_start_work };
            self.gateway.peer_evidence_received(engine.listing.engine, evidence);
        }
    }
}
