//! Checks the values of a service file.

use super::{
    parse_community, DampingPart, HealthCheckPart, HealthChecksPart, PathPreferencePart, ServiceFile,
};
use crate::bgp::check_seconds;
use crate::{invalid, OperatorFile, OperatorFileError};
use std::collections::BTreeSet;

const MAX_ADDRESSES: usize = 256;
const MAX_COMMUNITIES: usize = 16;

impl PathPreferencePart {
    fn check(&self, path: &str) -> Result<(), OperatorFileError> {
        if self.prepend > 16 {
            return invalid(format!("{path}.prepend"), "0 to 16", self.prepend);
        }
        if self.communities.len() > MAX_COMMUNITIES {
            return invalid(format!("{path}.communities"), "at most 16", self.communities.len());
        }
        for (index, text) in self.communities.iter().enumerate() {
            if parse_community(text).is_none() {
                return invalid(
                    format!("{path}.communities[{index}]"),
                    "two numbers such as 64512:666",
                    format!("{text:?}"),
                );
            }
        }
        Ok(())
    }
}

impl HealthCheckPart {
    fn check(&self, name: &str, max_bound: f64) -> Result<(), OperatorFileError> {
        let path = |field: &str| format!("signs.{name}.{field}");
        if !(0.0..=max_bound).contains(&self.bound) {
            return invalid(path("bound"), &format!("0 to {max_bound}"), self.bound);
        }
        for (field, count) in [("rise", self.rise), ("fall", self.fall)] {
            if !(1..=1000).contains(&count) {
                return invalid(path(field), "1 to 1000", count);
            }
        }
        check_seconds(&path("least_good_s"), self.least_good_s, 0.0, 3600.0)?;
        check_seconds(&path("least_bad_s"), self.least_bad_s, 0.0, 3600.0)
    }
}

impl DampingPart {
    fn check(&self) -> Result<(), OperatorFileError> {
        let DampingPart { half_life_s, suppress, reuse, longest_s } = *self;
        check_seconds("damping.half_life_s", half_life_s, 1.0, 3600.0)?;
        check_seconds("damping.longest_s", longest_s, half_life_s, 86_400.0)?;
        if !(0.1..=1e3).contains(&reuse) {
            return invalid("damping.reuse", "0.1 to 1000", reuse);
        }
        if suppress.is_nan() || suppress <= reuse {
            return invalid("damping.suppress", &format!("more than damping.reuse, {reuse}"), suppress);
        }
        // RFC 2439 section 4.2: if the largest possible penalty were less than `suppress`, damping would have no
        // effect.
        if reuse * (longest_s / half_life_s).exp2() < suppress {
            let expected = "long enough for a penalty of damping.suppress to decay to damping.reuse";
            return invalid("damping.longest_s", expected, longest_s);
        }
        Ok(())
    }
}

impl OperatorFile for ServiceFile {
    fn check(&self) -> Result<(), OperatorFileError> {
        self.bgp.check()?;
        self.check_addresses()?;
        self.check_signs()?;
        self.announced.check("announced")?;
        self.depreferred.check("depreferred")?;
        self.last_resort.check("last_resort")?;
        if self.mark_functions.0 == self.mark_functions.1 {
            return invalid("mark_functions", "two numbers that differ", self.mark_functions.0);
        }
        self.check_times()?;
        if !(2..=60).contains(&self.most_changes_a_minute) {
            return invalid("most_changes_a_minute", "2 to 60", self.most_changes_a_minute);
        }
        self.damping.check()
    }
}

impl ServiceFile {
    fn check_addresses(&self) -> Result<(), OperatorFileError> {
        if !(1..=MAX_ADDRESSES).contains(&self.addresses.len()) {
            return invalid("addresses", "1 to 256 prefixes", self.addresses.len());
        }
        let mut seen = BTreeSet::new();
        for (index, prefix) in self.addresses.iter().enumerate() {
            let field = format!("addresses[{index}]");
            if prefix.trunc() != *prefix {
                return invalid(field, &format!("{} without host bits", prefix.trunc()), prefix);
            }
            if prefix.prefix_len() == 0 || prefix.addr().is_multicast() || prefix.addr().is_loopback() {
                return invalid(field, "a unicast prefix", prefix);
            }
            if !seen.insert(prefix) {
                return invalid(field, "each prefix once", prefix);
            }
        }
        Ok(())
    }

    fn check_signs(&self) -> Result<(), OperatorFileError> {
        let HealthChecksPart { listening, deciding, board, engines, in_time } = &self.signs;
        listening.check("listening", 0.0)?;
        deciding.check("deciding", 3600.0)?;
        board.check("board", 3600.0)?;
        engines.check("engines", 1e6)?;
        in_time.check("in_time", 1.0)
    }

    fn check_times(&self) -> Result<(), OperatorFileError> {
        check_seconds("start_after_s", self.start_after_s, 0.0, 3600.0)?;
        check_seconds("return_after_s", self.return_after_s, 0.0, 3600.0)?;
        check_seconds("stage_s", self.stage_s, 0.0, 3600.0)?;
        check_seconds("jitter_down_s", self.jitter_down_s, 0.0, 600.0)?;
        check_seconds("jitter_up_s", self.jitter_up_s, 0.0, 600.0)?;
        check_seconds("settle_s", self.settle_s, 0.0, 3600.0)?;
        check_seconds("shutdown_lead_s", self.shutdown_lead_s, 0.0, 0.8)
    }
}
