//! Sizing of a service while failure domains are evacuated.

use std::collections::BTreeSet;

use crate::DomainName;
use crate::Scaling;

/// Returns the scaling and the baseline with which a fleet is planned while domains are evacuated.
///
/// The evacuated domains are left out, so that the orders there stay as they are. The other domains
/// together get the endpoints of the baseline, which is the number in one domain.
pub fn scale_without(
    scaling: &Scaling,
    baseline: u32,
    evacuated: &BTreeSet<DomainName>,
) -> (Scaling, u32) {
    let mut remaining = scaling.clone();
    remaining
        .domain_prices
        .retain(|domain, _| !evacuated.contains(domain));
    let all = scaling.domain_prices.len() as u64;
    let left = remaining.domain_prices.len().max(1) as u64;
    let baseline = (u64::from(baseline) * all.max(1)).div_ceil(left);
    (remaining, u32::try_from(baseline).unwrap_or(u32::MAX))
}
