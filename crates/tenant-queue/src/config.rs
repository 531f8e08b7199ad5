//! What is configured for a tenant.

/// The parent of all tenants.
pub const ROOT: usize = 0;

/// How much work a tenant may have before it stands behind those within their budgets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Seconds of work a second.
    pub rate: f64,
    /// So many seconds of work it may save up.
    pub burst: f64,
}

/// One tenant, or a group of them. A parent stands before its children.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantConfig {
    /// Its index in the list; the first one is [`ROOT`] and its own parent.
    pub parent: usize,
    /// More than 0.
    pub weight: f64,
    /// None: never over it.
    pub budget: Option<Budget>,
    /// Requests that may be queued; beyond them the last is displaced.
    pub max_queued: usize,
    /// Seconds of work that may be queued; beyond them the last request is displaced.
    pub max_queued_work: f64,
    /// Requests that may be in flight at engines at once.
    pub max_in_flight: usize,
    /// A request goes ahead of a denser one that came so many seconds later for each halving of its density. None: the
    /// densest first, however long others wait.
    pub ageing: Option<f64>,
    /// By class: so many doublings of its density a request counts as denser. Classes behind the end have none.
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
