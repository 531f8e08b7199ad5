//! The digests in which instances report their observations of engines to each other, if the deployment allows it.

use base64::{engine::general_purpose::STANDARD, Engine as _};
use cleatgw::{EngineEvidence, EngineListing, Gateway};
use cleatgw_deployment_config::{engine_incarnation, PeerInstance};
use cleatgw_membership::digest::{self, DigestRounds, DueDigest, EngineIncarnation, OwnEvidence};

/// The interval between deliveries of the peers' evidence to the decision core, in seconds.
const DELIVERY_INTERVAL: f64 = 0.25;

/// The digests of one instance.
pub struct PeerDigests {
    rounds: DigestRounds,
    /// The current incarnation of each engine, by the engine's index.
    incarnations: Vec<EngineIncarnation>,
    /// When the peers' evidence is next delivered to the decision core.
    next_delivery: f64,
}

impl PeerDigests {
    pub fn new(peer: PeerInstance, seed: u64, now: f64) -> PeerDigests {
        let rounds = DigestRounds::new(peer.index, peer.instances, seed, now);
        PeerDigests { rounds, incarnations: Vec::new(), next_delivery: 0.0 }
    }

    /// Decodes a digest from the text of the wire. `None` if the text is not base64.
    pub fn decode(content: &str) -> Option<Vec<u8>> {
        STANDARD.decode(content).ok()
    }

    /// Records the incarnations of listed engines.
    pub fn engines_listed(&mut self, listings: &[EngineListing]) {
        for listing in listings {
            let incarnation = engine_incarnation(listing);
            // Indices in between belong to engines that only an `OUTCOME` line has named so far. They have this
            // incarnation until they are listed.
            let length = self.incarnations.len().max(listing.engine + 1);
            self.incarnations.resize(length, incarnation);
            self.incarnations[listing.engine] = incarnation;
        }
    }

    /// Handles a digest from a peer. A malformed digest is dropped.
    pub fn received(&mut self, sender: u16, bytes: &[u8], now: f64) {
        let _ = self.rounds.receive(sender, bytes, now);
    }

    /// Delivers the peers' evidence on each engine to the decision core, if that is due.
    pub fn deliver(&mut self, now: f64, gateway: &mut Gateway) {
        if now < self.next_delivery {
            return;
        }
        self.next_delivery = now + DELIVERY_INTERVAL;
        for (engine, incarnation) in self.incarnations.iter().enumerate() {
            let peer_evidence = self.rounds.evidence_on(incarnation, now);
            let evidence = EngineEvidence {
                successes: peer_evidence.successes,
                failures: peer_evidence.failures,
                slow_start_work: peer_evidence.slow_start_work,
            };
            gateway.peer_evidence_received(engine, evidence);
        }
    }

    /// The digest that is due now, if any.
    pub fn due(&mut self, now: f64, gateway: &Gateway) -> Option<DueDigest> {
        let incarnations = self.incarnations.iter().enumerate();
        let own_evidence = incarnations.filter_map(|(engine, incarnation)| {
            let evidence = gateway.evidence(engine, now)?;
            let own = OwnEvidence {
                successes: evidence.successes,
                failures: evidence.failures,
                slow_start_work: evidence.slow_start_work,
            };
            Some((*incarnation, own))
        });
        self.rounds.digest_to_send(now, || digest::observations(own_evidence))
    }
}
