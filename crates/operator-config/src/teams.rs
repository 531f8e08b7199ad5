//! The teams file: who shares the engines, and how.

use crate::bgp::seconds;
use crate::{parse, wrong, Wrong, LONGEST};
use cleatgw_tenant_queue::{Line, Terms, ROOT};
use schemars::JsonSchema;
use serde::Deserialize;
use std::collections::{BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

const MOST_TEAMS: usize = 10_000;
const DEEPEST: usize = 3;
/// Teams that no file names share so many lines, by their names' hashes (McKenney, "Stochastic Fairness Queueing",
/// 1990): made-up names cost no more than this.
const OTHERS: usize = 16;

/// `deploy/teams.json`: teams share the engines by weight. A team is what a statement's `org` names.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TeamsFile {
    /// At most 10000 in all, nested at most three deep. One that holds teams itself is a group: its name is no `org`.
    pub teams: Vec<TeamPart>,
    /// All that no team of the file is named for, together.
    #[serde(default)]
    pub others: OthersPart,
    /// Jobs in line in all; beyond them the longest line for its weight loses its last. At least 1.
    #[serde(default = "most_queued")]
    pub most_queued: usize,
}

/// One team, or a group of them.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TeamPart {
    /// As `org` has it.
    pub name: String,
    /// Its share against its siblings, more than 0.
    pub weight: f64,
    /// Work within which it goes ahead of teams that are over theirs. Absent: never over.
    #[serde(default)]
    pub budget: Option<BudgetPart>,
    /// Jobs, and seconds of work, that may be in line; absent: 10000, and any. Beyond them the last that never ran is
    /// turned back. This and what follows is a team's alone: a group has none of it.
    #[serde(default)]
    pub most_queued: Option<usize>,
    #[serde(default)]
    pub most_queued_work_s: Option<f64>,
    /// Jobs that it may have out at engines at once, at least 1.
    #[serde(default)]
    pub most_out: Option<usize>,
    /// How many seconds a job ages for each halving of its credit for work; absent: the most credit for work first.
    #[serde(default)]
    pub ageing_s: Option<f64>,
    /// Categories that go first, in this order, whatever their credit for work: each place counts as ten doublings of
    /// it. Those not named go last.
    #[serde(default)]
    pub order: Vec<String>,
    #[serde(default)]
    pub teams: Vec<TeamPart>,
}

/// A budget of engine work.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BudgetPart {
    /// Seconds of work, on one core, a second.
    pub rate: f64,
    /// Seconds of work that may be saved up.
    pub burst_s: f64,
}

/// Teams that the file does not name.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct OthersPart {
    pub weight: f64,
    pub most_queued: usize,
}

impl Default for OthersPart {
    fn default() -> OthersPart {
        OthersPart { weight: 1.0, most_queued: most_queued() }
    }
}

fn most_queued() -> usize {
    10_000
}

/// Which line a name belongs to.
#[derive(Clone, Debug)]
pub struct TeamNames {
    by_name: HashMap<String, usize>,
    names: Vec<String>,
    others: usize,
}

impl TeamNames {
    /// The team of a job whose `org` says this.
    pub fn of(&self, org: Option<&str>) -> usize {
        let name = org.unwrap_or("");
        self.by_name.get(name).copied().unwrap_or_else(|| {
            let mut hasher = DefaultHasher::new();
            name.hash(&mut hasher);
            self.others + 1 + (hasher.finish() % OTHERS as u64) as usize
        })
    }

    /// Each line's name, by its index.
    pub fn names(&self) -> &[String] {
        &self.names
    }
}

/// # Errors
/// As for the service file.
pub fn read_teams(text: &str) -> Result<TeamsFile, Wrong> {
    if text.len() > LONGEST {
        return Err(Wrong(format!("expected at most {LONGEST} bytes, got {}", text.len())));
    }
    let file: TeamsFile = parse(text)?;
    file.check()?;
    Ok(file)
}

/// The schema of the teams file.
pub fn teams_schema() -> String {
    let schema = schemars::schema_for!(TeamsFile);
    serde_json::to_string_pretty(&schema).expect("a schema is plain JSON") + "\n"
}

impl TeamsFile {
    fn check(&self) -> Result<(), Wrong> {
        let mut names = BTreeSet::new();
        check_all(&self.teams, "teams", 1, &mut names)?;
        if names.len() > MOST_TEAMS {
            return wrong("teams", "at most 10000 teams", names.len());
        }
        weight("others.weight", self.others.weight)?;
        if self.most_queued == 0 {
            return wrong("most_queued", "1 or more", 0);
        }
        Ok(())
    }

    /// The lines that the file describes, and which names go where. Categories are known by their names.
    pub fn line(&self, now: f64, categories: &[String]) -> (Line, TeamNames) {
        let (terms, names) = self.tree(categories);
        (Line::new(terms, now), names)
    }

    fn tree(&self, categories: &[String]) -> (Vec<Terms>, TeamNames) {
        let mut terms = vec![Terms { most_queued: self.most_queued, ..Terms::default() }];
        let mut names = TeamNames { by_name: HashMap::new(), names: vec!["all".to_string()], others: 0 };
        add(&self.teams, ROOT, categories, &mut terms, &mut names);
        names.others = terms.len();
        names.names.push("others".to_string());
        terms.push(Terms { weight: self.others.weight, ..Terms::default() });
        for at in 0..OTHERS {
            names.names.push(format!("others-{at}"));
            let most_queued = self.others.most_queued;
            terms.push(Terms { parent: names.others, most_queued, ..Terms::default() });
        }
        (terms, names)
    }
}

impl TeamPart {
    fn ahead(&self, category: &str) -> f64 {
        let place = self.order.iter().position(|name| name == category);
        place.map_or(0.0, |place| PLACE * (self.order.len() - place) as f64)
    }
}

fn weight(path: &str, value: f64) -> Result<(), Wrong> {
    match (1e-6..=1e6).contains(&value) {
        true => Ok(()),
        false => wrong(path, "a weight from 0.000001 to 1000000", value),
    }
}

fn check_all(
    teams: &[TeamPart],
    path: &str,
    depth: usize,
    names: &mut BTreeSet<String>,
) -> Result<(), Wrong> {
    if depth > DEEPEST && !teams.is_empty() {
        return wrong(path, "teams nested at most three deep", depth);
    }
    for (at, team) in teams.iter().enumerate() {
        let path = format!("{path}[{at}]");
        let field = |name: &str| format!("{path}.{name}");
        let plain = |byte: u8| byte.is_ascii_graphic() && byte != b'=' && byte != b',';
        if !(1..=64).contains(&team.name.len()) || !team.name.bytes().all(plain) {
            return wrong(field("name"), "1 to 64 letters without blanks", format!("{:?}", team.name));
        }
        if !names.insert(team.name.clone()) {
            return wrong(field("name"), "a name of its own", &team.name);
        }
        weight(&field("weight"), team.weight)?;
        if let Some(budget) = &team.budget {
            seconds(&field("budget.rate"), budget.rate, 0.0, 1e6)?;
            seconds(&field("budget.burst_s"), budget.burst_s, 0.0, 1e6)?;
        }
        for (name, count) in [("most_queued", team.most_queued), ("most_out", team.most_out)] {
            if count == Some(0) {
                return wrong(field(name), "1 or more", 0);
            }
        }
        let own = [
            ("most_queued", team.most_queued.is_some()),
            ("most_queued_work_s", team.most_queued_work_s.is_some()),
            ("most_out", team.most_out.is_some()),
            ("ageing_s", team.ageing_s.is_some()),
            ("order", !team.order.is_empty()),
        ];
        if let Some((name, _)) = own.iter().find(|(_, set)| *set && !team.teams.is_empty()) {
            return wrong(field(name), "none, as it is a group", "one");
        }
        if let Some(work) = team.most_queued_work_s {
            seconds(&field("most_queued_work_s"), work, 0.001, 1e9)?;
        }
        if team.order.len() > 16 {
            return wrong(field("order"), "at most 16 categories", team.order.len());
        }
        if let Some(ageing) = team.ageing_s {
            seconds(&field("ageing_s"), ageing, 0.0, 3600.0)?;
        }
        check_all(&team.teams, &field("teams"), depth + 1, names)?;
    }
    Ok(())
}

/// What each place in a team's order counts for, in doublings of credit for work.
const PLACE: f64 = 10.0;

fn add(
    teams: &[TeamPart],
    parent: usize,
    categories: &[String],
    terms: &mut Vec<Terms>,
    names: &mut TeamNames,
) {
    for team in teams {
        let at = terms.len();
        terms.push(Terms {
            parent,
            weight: team.weight,
            budget: team.budget.as_ref().map(|budget| (budget.rate, budget.burst_s)),
            most_queued: team.most_queued.unwrap_or_else(most_queued),
            most_queued_work: team.most_queued_work_s.unwrap_or(f64::INFINITY),
            most_out: team.most_out.unwrap_or(usize::MAX),
            ageing: team.ageing_s,
            order: categories.iter().map(|category| team.ahead(category)).collect(),
        });
        names.names.push(team.name.clone());
        if team.teams.is_empty() {
            names.by_name.insert(team.name.clone(), at);
        }
        add(&team.teams, at, categories, terms, names);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = include_str!("../../../deploy/teams.json");

    #[test]
    fn the_example_is_read_its_names_find_their_lines_and_the_schema_is_the_one_checked_in() {
        let file = read_teams(GOOD).unwrap();
        let (line, names) = file.line(0.0, &[]);
        let of = |name| names.names()[names.of(Some(name))].clone();
        assert_eq!((of("mondego"), of("vouga")), ("mondego".to_string(), "vouga".to_string()));
        // A group is no team, and a made-up name has a line among the others.
        assert!(of("north").starts_with("others-") && of("no-such").starts_with("others-"));
        assert!(names.names()[names.of(None)].starts_with("others-") && line.is_empty());
        let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/teams.schema.json");
        let text = std::fs::read_to_string(path).unwrap();
        assert!(text == teams_schema(), "stale: write `cleatgw schema teams` to deploy/teams.schema.json");
    }

    #[test]
    fn errors_name_their_field() {
        for (was, is, words) in [
            (
                "\"mondego\", \"weight\": 85",
                "\"mondego\", \"weight\": 0",
                "teams[0].weight: expected a weight",
            ),
            ("\"mondego\"", "\"vouga\"", "teams[1].name: expected a name of its own, got vouga"),
            ("\"mondego\"", "\"mon dego\"", "teams[0].name: expected 1 to 64 letters"),
            ("\"weight\": 85", "\"wait\": 85", "teams[0].wait: unknown field `wait`"),
            (
                "\"weight\": 10,",
                "\"weight\": 10, \"most_out\": 3,",
                "teams[2].most_out: expected none, as it is a group",
            ),
            ("\"rate\": 0.5", "\"rate\": -1", "teams[2].teams[0].budget.rate: expected seconds from 0"),
        ] {
            assert!(GOOD.contains(was), "{was}");
            let said = read_teams(&GOOD.replacen(was, is, 1)).unwrap_err().0;
            assert!(said.contains(words), "{said}");
        }
        let deep = r#"{"teams":[{"name":"a","weight":1,"teams":[{"name":"b","weight":1,"teams":[{"name":"c","weight":1,
            "teams":[{"name":"d","weight":1}]}]}]}]}"#;
        assert!(read_teams(deep).unwrap_err().0.contains("nested at most three deep"));
    }
}
