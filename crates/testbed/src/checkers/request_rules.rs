//! Judges what clients and engines saw of requests against the rules that the router promises. It shares no code with the
//! router: it knows what was asked, what each engine was given and when that ended, and what each client was told.

use serde_json::{json, Value};
use std::collections::HashMap;

/// How a request was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Rows,
    Rejected,
    /// Any other error.
    Failed,
}

/// What a client saw of one request. Times are seconds of the test bed's clock.
#[derive(Clone, Debug)]
pub struct Asked {
    pub router: usize,
    pub call: String,
    pub class: &'static str,
    /// The same for all tries of one request; empty where it has none.
    pub idempotency_key: String,
    pub sent: f64,
    /// How long its client waits.
    pub time_to_live: f64,
    /// When the whole answer was in, and what it was; none where the connection ended or time was over.
    pub answered: Option<(f64, Outcome)>,
    /// When its client stopped waiting, for whatever reason.
    pub over: f64,
    /// More than one answer came.
    pub twice: bool,
}

/// What an engine saw of one attempt.
#[derive(Clone, Debug)]
pub struct Ran {
    pub engine: usize,
    pub call: String,
    pub idempotency_key: String,
    pub got: f64,
    /// When it ended there: done and said, given up, or its connection closed; infinite while it runs.
    pub over: f64,
    pub done: bool,
}

/// What the deployment of the test bed states.
#[derive(Clone, Debug)]
pub struct Stated {
    /// How long an idempotency key is known.
    pub window: f64,
    /// Retries: so many, and such a share of the requests taken, in so many seconds.
    pub spare: f64,
    pub share: f64,
    pub look_back: f64,
    /// Classes by what running one twice does.
    pub non_idempotent: &'static str,
    pub deduplicated: &'static str,
}

impl Default for Stated {
    fn default() -> Stated {
        let (non_idempotent, deduplicated) = ("once", "load");
        Stated { window: 12.0, spare: 10.0, share: 0.2, look_back: 10.0, non_idempotent, deduplicated }
    }
}

/// Slack for what two clocks, a thread's wake-up and the protocol's own bounds add. Seconds.
const SLACK: f64 = 0.25;

/// What was broken, with a sentence for each find; counts are what a report shows.
#[derive(Debug, Default)]
pub struct CheckResult {
    pub two_answers: usize,
    /// Non-idempotent requests that came to engines twice, and deduplicated ones again after their window.
    pub ran_twice: usize,
    pub rejected_after_run: usize,
    pub two_out: usize,
    pub attempts_over_budget: usize,
    /// Attempts that came to an engine after it was told to drain, or had gone.
    pub to_draining: usize,
    pub late: usize,
    pub finds: Vec<String>,
}

impl CheckResult {
    pub fn breaks(&self) -> usize {
        self.two_answers
            + self.ran_twice
            + self.rejected_after_run
            + self.two_out
            + self.attempts_over_budget
            + self.to_draining
            + self.late
    }

    fn find(&mut self, words: String) {
        if self.finds.len() < 20 {
            self.finds.push(words);
        }
    }

    pub fn report(&self) -> Value {
        json!({
            "rule_breaks": self.breaks(),
            "two_answers": self.two_answers,
            "ran_twice": self.ran_twice,
            "turned_back_after_run": self.rejected_after_run,
            "two_out": self.two_out,
            "pushes_over_budget": self.attempts_over_budget,
            "to_draining": self.to_draining,
            "late": self.late,
            "finds": self.finds,
        })
    }
}

/// What was done beside the requests, for the judge.
pub struct Facts<'a> {
    pub stated: Stated,
    /// From when on an engine was to get nothing new, by engine.
    pub drained: Vec<Option<f64>>,
    /// Something was done to the way from this router to this engine between these times.
    pub rough: &'a dyn Fn(usize, usize, f64, f64) -> bool,
    /// This router was started at these times; its budget of retries begins anew where nothing is kept.
    pub started: Vec<Vec<f64>>,
    /// It kept what it dispatched over its starts, so that the budget has to hold over them.
    pub kept: bool,
}

pub fn check_requests(asked: &[Asked], ran: &[Ran], facts: &Facts) -> CheckResult {
    let mut check_result = CheckResult::default();
    let mut runs: HashMap<&str, Vec<&Ran>> = HashMap::new();
    ran.iter().for_each(|run| runs.entry(&run.call).or_default().push(run));
    runs.values_mut().for_each(|runs| runs.sort_by(|one, other| one.got.total_cmp(&other.got)));
    let none = Vec::new();
    for request in asked {
        let runs = runs.get(request.call.as_str()).unwrap_or(&none);
        one_request(request, runs, facts, &mut check_result);
    }
    receipts(asked, ran, facts, &mut check_result);
    budgets(asked, &runs, facts, &mut check_result);
    for run in ran {
        if facts.drained.get(run.engine).copied().flatten().is_some_and(|at| run.got > at + 1.0) {
            check_result.to_draining += 1;
            check_result.find(format!("{} came to engine {} after its drain", run.call, run.engine));
        }
    }
    check_result
}

fn one_request(request: &Asked, runs: &[&Ran], facts: &Facts, check_result: &mut CheckResult) {
    let Asked { call, class, router, .. } = request;
    if request.twice {
        check_result.two_answers += 1;
        check_result.find(format!("{call} was answered twice"));
    }
    if *class == facts.stated.non_idempotent && runs.len() > 1 {
        check_result.ran_twice += 1;
        check_result.find(format!("{class} {call} came to engines {} times", runs.len()));
    }
    let rejected = matches!(request.answered, Some((_, Outcome::Rejected)));
    if rejected && *class == facts.stated.non_idempotent && !runs.is_empty() {
        check_result.rejected_after_run += 1;
        check_result.find(format!("{class} {call} was turned back after a push"));
    }
    if request.answered.is_some_and(|(at, _)| at > request.sent + request.time_to_live + SLACK) {
        check_result.late += 1;
        check_result.find(format!(
            "{call} was answered {:.2} s after its time",
            request.over - request.sent - request.time_to_live
        ));
    }
    for pair in runs.windows(2) {
        let (first, second) = (pair[0], pair[1]);
        let rough = (facts.rough)(*router, first.engine, first.got, second.got);
        if first.over > second.got + SLACK && !rough {
            check_result.two_out += 1;
            check_result.find(format!("{call} was out at engines {} and {}", first.engine, second.engine));
        }
    }
}

/// A deduplicated request runs again only within its window, whoever sends it and under whatever call.
fn receipts(asked: &[Asked], ran: &[Ran], facts: &Facts, check_result: &mut CheckResult) {
    let deduplicated = asked.iter().filter(|request| request.class == facts.stated.deduplicated);
    let known: std::collections::HashSet<&str> =
        deduplicated.map(|request| request.idempotency_key.as_str()).collect();
    let mut first: HashMap<&str, f64> = HashMap::new();
    for run in ran.iter().filter(|run| known.contains(run.idempotency_key.as_str())) {
        let at = first.entry(&run.idempotency_key).or_insert(run.got);
        *at = at.min(run.got);
    }
    for run in ran {
        if first
            .get(run.idempotency_key.as_str())
            .is_some_and(|first| run.got > first + facts.stated.window + SLACK)
        {
            check_result.ran_twice += 1;
            check_result.find(format!("{} ran again after its window", run.idempotency_key));
        }
    }
}

/// Retries of each router, over every window that ends with one.
fn budgets(asked: &[Asked], runs: &HashMap<&str, Vec<&Ran>>, facts: &Facts, check_result: &mut CheckResult) {
    let routers = asked.iter().map(|request| request.router + 1).max().unwrap_or(0);
    let mut taken = vec![Vec::new(); routers];
    let mut further = vec![Vec::new(); routers];
    for request in asked {
        taken[request.router].push(request.sent);
        let again = runs.get(request.call.as_str()).into_iter().flatten().skip(1);
        further[request.router].extend(again.map(|run| run.got));
    }
    let Stated { spare, share, look_back, .. } = facts.stated;
    for router in 0..routers {
        taken[router].sort_by(f64::total_cmp);
        further[router].sort_by(f64::total_cmp);
        let started = facts.started.get(router).map_or(&[][..], Vec::as_slice);
        let between = |all: &[f64], from: f64, to: f64| {
            all.partition_point(|at| *at <= to) - all.partition_point(|at| *at <= from)
        };
        for at in &further[router] {
            // Where nothing is kept over a start, the window begins there.
            let anew =
                started.iter().copied().filter(|start| start <= at && !facts.kept).fold(f64::MIN, f64::max);
            let from = (at - look_back).max(anew);
            let repeats = between(&further[router], from, *at) as f64;
            let requests = between(&taken[router], from - SLACK, *at) as f64;
            // What engines see may be closer together than what was sent, by what is on the way.
            if repeats > (spare + share * requests) * 1.15 + 1.0 {
                check_result.attempts_over_budget += 1;
                check_result
                    .find(format!("router {router}: {repeats} further pushes, {requests} jobs by {at:.2}"));
            }
        }
    }
}

/// One answer of a router to who holds a leader role: under which epoch, at which Unix time, and for how many seconds more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    pub router: usize,
    pub role: usize,
    pub epoch: u64,
    pub at: f64,
    pub until: f64,
    /// It has been told to leave since, or is dead: it uses it no more, whatever time it had.
    pub ended: Option<f64>,
}

/// How often two routers held one leader role at once, or an epoch went back in the order of claims.
pub fn two_holders(claims: &[Claim]) -> (usize, Vec<String>) {
    let mut sorted = claims.to_vec();
    sorted.sort_by(|one, other| (one.role, one.at).partial_cmp(&(other.role, other.at)).expect("times"));
    let mut finds = Vec::new();
    let mut last: Option<Claim> = None;
    let mut times = 0;
    for claim in sorted {
        if let Some(last) = last.filter(|last| last.role == claim.role) {
            let other = last.router != claim.router;
            let until = last.ended.map_or(last.until, |ended| ended.min(last.until));
            if other && claim.at < until || claim.epoch < last.epoch {
                times += 1;
                if finds.len() < 10 {
                    finds.push(format!("{last:?} and {claim:?}"));
                }
            }
        }
        last = Some(claim);
    }
    (times, finds)
}

#[cfg(test)]
mod tests;
