//! The tenants that share the engines: their queues, and the rows of `SHOW TEAMS`.

use super::Routing;
use crate::status_row::StatusRow;
use cleatgw::queue::TenantLoad;
use cleatgw_operator_config::{TeamsFile, TenantNames};

/// The maximum number of tenants in the table.
const MAX_ROWS: usize = 256;

/// The teams file that is in force, and the queue that each name belongs to.
pub struct Tenants {
    pub file: TeamsFile,
    pub names: TenantNames,
}

impl Routing {
    /// Puts a teams file into force. Requests that wait are moved to the queues that their tenants' names have in this
    /// file.
    pub fn set_tenants(&mut self, file: TeamsFile) {
        let (queue, names) = file.tenant_queue(self.state.now, &self.names.classes);
        let requests = &self.state.requests;
        let tenant_of = |index: usize| {
            let request = requests.get(index);
            names.index_of(request.and_then(|request| request.statement.tenant.as_deref()))
        };
        self.gateway.set_tenants(self.state.now, queue, &tenant_of);
        self.tenants = Some(Tenants { file, names });
    }

    /// The rows on the tenants that have requests queued or in flight. `None` without a teams file.
    pub fn tenant_status(&self) -> Option<Vec<StatusRow>> {
        let names = &self.tenants.as_ref()?.names;
        let queue = &self.gateway.queue;
        let mut rows = vec![self.estimates_row()];
        let tenants = names.names().iter().enumerate();
        let loads = tenants.map(|(index, name)| (index, name, queue.load(index)));
        let busy_tenants = loads.filter(|(_, _, load)| load.queued + load.in_flight > 0);
        for (index, name, load) in busy_tenants.take(MAX_ROWS) {
            let TenantLoad { queued, queued_work, in_flight } = load;
            let mean_work = queued_work / queued.max(1) as f64;
            let wait = match queue.estimate_wait_of_new(index, mean_work, self.state.now) {
                Some(wait) => format!("{:.2} s, {:.2} to {:.2}", wait.expected, wait.lower, wait.upper),
                None => "can't be told".to_string(),
            };
            rows.push(StatusRow::new(
                format!("team {name}"),
                format!("{queued} in line, {queued_work:.2} s of work, {in_flight} out"),
                format!("a job that comes now waits {wait}"),
            ));
        }
        Some(rows)
    }

    /// The row on the accuracy of the wait estimates.
    fn estimates_row(&self) -> StatusRow {
        let waits = &self.gateway.queue.waits;
        let compared = waits.compared;
        let unknown = waits.without_estimate;
        let share = waits.within_a_fifth as f64 / (compared as f64).max(1.0);
        StatusRow::new(
            "estimates",
            format!("{share:.2} within a fifth"),
            format!("{compared} estimates compared, {unknown} jobs without one"),
        )
    }
}
