//! Reads the settings into the parameters of the decision module, section by section.

use crate::{index_of, Names, SettingError, Settings};
use cleatgw::{
    DeduplicationScope, Deployment, EngineKind, Idempotency, RequestClass, RetryBudget, SlowStart,
};

/// A deployment with the names that its indices stand for.
pub struct NamedDeployment {
    /// The parameters of the decision module.
    pub deployment: Deployment,
    /// The names that indices in `deployment` stand for.
    pub names: Names,
}

fn to_strings(list: &[&str]) -> Vec<String> {
    list.iter().map(|text| text.to_string()).collect()
}

/// Reads a deployment. An unknown word or flag is not an error: it counts as absent.
///
/// # Errors
/// The first number or count that is malformed or out of range.
pub fn read_deployment(settings: &Settings) -> Result<NamedDeployment, SettingError> {
    let mut names = Names {
        zones: to_strings(&settings.list("zones")),
        kinds: to_strings(&settings.list("shapes")),
        columns: to_strings(&settings.list("report.columns")),
        tenants: tenant_names(settings)?,
        ..Names::default()
    };
    let classes = request_classes(settings, &mut names)?;
    let overbooked = settings.text("family-info.overbooked");
    let deployment = Deployment {
        gateways: settings.number("balancers", 1.0)?.max(1.0),
        classes,
        engine_kinds: engine_kinds(settings, &names)?,
        max_memory_share: settings.number("family-info.largest-share", 1.0)?,
        honours_grants: settings.flag("family-info.grants-count"),
        trims_grants: overbooked == Some("trim"),
        pages_memory: overbooked == Some("swap"),
        has_priority_lanes: settings.flag("family-info.takes-priority"),
        can_cancel: settings.flag("limits.cancel"),
        allows_hedging: settings.flag("limits.second-copies"),
        max_attempts: settings.number("limits.max-attempts", 1.0)? as u32,
        max_retry_after: max_retry_after(settings)?,
        max_list_age: max_list_age(settings)?,
        slow_start: slow_start(settings)?,
        retry_budget: retry_budget(settings)?,
        key_quiet_period: settings.time("rules.key-quiet-us", 0.0)?,
    };
    Ok(NamedDeployment { deployment, names })
}

fn tenant_names(settings: &Settings) -> Result<Vec<String>, SettingError> {
    let mut names = Vec::new();
    for index in 0..settings.count("tenants")? {
        names.extend(settings.text(&format!("tenants.{index}.name")).map(str::to_string));
    }
    Ok(names)
}

/// Reads the request classes and adds their names to `names`, together with zones and kinds that only classes mention.
fn request_classes(settings: &Settings, names: &mut Names) -> Result<Vec<RequestClass>, SettingError> {
    let threads = settings.numbers("family-info.parallelism")?;
    let locks_tables = settings.list("family-info.is-load");
    let waits_for_locks = settings.list("family-info.yields-to-loads");
    let mut classes = Vec::new();
    for index in 0..settings.count("categories")? {
        let path = |key: &str| format!("categories.{index}.{key}");
        names.classes.push(settings.text(&path("name")).unwrap_or_default().to_string());
        let allowed_indices = |key: &str, known: &mut Vec<String>| {
            let allowed = settings.list(&path(key));
            (!allowed.is_empty()).then(|| allowed.iter().map(|name| index_of(known, name)).collect())
        };
        classes.push(RequestClass {
            allowed_zones: allowed_indices("confined-to", &mut names.zones),
            allowed_kinds: allowed_indices("allowed-on", &mut names.kinds),
            value: settings.number(&path("gain"), 1.0)?,
            late_value_share: settings.number(&path("late-worth"), 0.0)?,
            latency_objective: settings.time(&path("objective-us"), 1.0)?,
            max_wait: settings.time(&path("hard-limit-us"), f64::INFINITY)?,
            objective_stretch: settings.number(&path("aim-stretch"), 0.0)?,
            threads: threads.get(index).copied().unwrap_or(1.0).max(1.0),
            idempotency: idempotency(settings, &path)?,
            locks_tables: locks_tables.get(index) == Some(&"true"),
            waits_for_table_locks: waits_for_locks.get(index) == Some(&"true"),
            in_key_order: settings.flag(&path("serial-by-key")),
        });
    }
    Ok(classes)
}

/// The idempotency of a class. An unknown or absent word gives the strictest case, `NonIdempotent`, and an unknown or
/// absent group the smallest scope, `Cell`.
fn idempotency(settings: &Settings, path: &dyn Fn(&str) -> String) -> Result<Idempotency, SettingError> {
    match settings.text(&path("idempotency")) {
        Some("safe") => Ok(Idempotency::Idempotent),
        Some("keyed") => {
            let scope = match settings.text(&path("group")) {
                Some("all") => DeduplicationScope::All,
                Some("zone") => DeduplicationScope::Zone,
                _ => DeduplicationScope::Cell,
            };
            let window = settings.time(&path("window-us"), 0.0)?;
            Ok(Idempotency::Deduplicated { scope, window })
        }
        _ => Ok(Idempotency::NonIdempotent),
    }
}

fn engine_kinds(settings: &Settings, names: &Names) -> Result<Vec<EngineKind>, SettingError> {
    let cores = settings.numbers("family-info.cores-by-kind")?;
    let memory = settings.numbers("family-info.ram-of-kind-mb")?;
    let kind = |index: usize| EngineKind {
        cores: cores.get(index).copied().unwrap_or(1.0).max(1.0),
        memory_mb: memory.get(index).copied().unwrap_or(0.0),
    };
    Ok((0..names.kinds.len()).map(kind).collect())
}

/// The longest Retry-After that clients obey, in seconds; `None` if they ignore it.
fn max_retry_after(settings: &Settings) -> Result<Option<f64>, SettingError> {
    if !settings.flag("limits.retry-after") {
        return Ok(None);
    }
    settings.time("limits.max-retry-after-us", 0.0).map(Some)
}

/// How old the engine list may get before the gateway asks discovery for it again, in seconds (default 10). `None`
/// unless the `discovery` setting is `subscribe`: only then does the gateway have to ask for the list.
fn max_list_age(settings: &Settings) -> Result<Option<f64>, SettingError> {
    if settings.text("discovery") != Some("subscribe") {
        return Ok(None);
    }
    settings.time("rules.ask-within-us", 10.0).map(Some)
}

fn slow_start(settings: &Settings) -> Result<SlowStart, SettingError> {
    Ok(SlowStart {
        initial_share: settings.number("rules.cold-from", 1.0)?,
        duration: settings.time("rules.warm-after-us", 0.0)?,
        overload_multiple: settings.number("rules.fall-multiple", 1.0)?,
        window: settings.time("rules.overload-for-us", 0.0)?,
    })
}

/// The retry budget; `None` if its window is absent.
fn retry_budget(settings: &Settings) -> Result<Option<RetryBudget>, SettingError> {
    if settings.optional_number("rules.look-back-us")?.is_none() {
        return Ok(None);
    }
    Ok(Some(RetryBudget {
        base: settings.number("rules.spare-attempts", 0.0)?,
        per_request: settings.number("rules.budget-share", 0.0)?,
        window: settings.time("rules.look-back-us", 0.0)?,
    }))
}
