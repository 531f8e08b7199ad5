//! Configuration of one tenant or group of tenants.

/// Index of the root group, which contains all tenants.
pub const ROOT: usize = 0;

/// A tenant's budget of work. A tenant that has exceeded its budget is served after its siblings that are within
/// theirs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Seconds of work that are earned per second.
    pub rate: f64,
    /// Seconds of work that can be saved up at most.
    pub burst: f64,
}

/// Configuration of one tenant or group of tenants. In the list of configurations a parent precedes its children.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantConfig {
    /// Index of the parent in the list. The first entry is [`ROOT`] and its own parent.
    pub parent: usize,
    /// Share of the work relative to the siblings; greater than 0.
    pub weight: f64,
    /// The budget of work. `None`: there is no budget that could be exceeded.
    pub budget: Option<Budget>,
    /// Maximum number of queued requests; in the root the maximum over all tenants, ignored in other groups. Above it
    /// the last request that cannot have run is displaced.
    pub max_queued: usize,
    /// Maximum queued work in seconds; ignored in groups. Above it the last request that cannot have run is displaced.
    pub max_queued_work: f64,
    /// Maximum number of requests in flight at engines; ignored in groups.
    pub max_in_flight: usize,
    /// Seconds of head start per doubling of value density: a request goes before one of twice its density if it was
    /// received more than this many seconds earlier. `None`: requests are ordered by density alone, however long they
    /// have waited.
    pub ageing: Option<f64>,
    /// Per request class: the number of doublings by which a request's value density is raised in the order of the
    /// queue. Values not above 0, and classes beyond the end of the list, do not raise it.
    pub class_boosts: Vec<f64>,
}

impl Default for TenantConfig {
    fn default() -> TenantConfig {
        TenantConfig {
            parent: ROOT,
            weight: 1.0,
            budget: None,
            max_queued: usize::MAX,
            max_queued_work: f64::INFINITY,
            max_in_flight: usize::MAX,
            ageing: None,
            class_boosts: Vec::new(),
        }
    }
}
