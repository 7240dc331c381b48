//! Selection of a service from a weighted traffic split.

use {
    routing::{ServiceName, WeightedService},
    std::{collections::HashMap, sync::Arc},
};

/// Smooth weighted round robin over the traffic split of each route.
///
/// Any sequence of requests follows the weights more closely than random
/// selection, so the shares also hold over the few requests of one host.
#[derive(Debug, Default)]
pub struct WeightedSplits(HashMap<Arc<str>, Vec<(ServiceName, f64)>>);

impl WeightedSplits {
    /// Returns the service for the next request of `route`, or `None` if no weight is positive.
    pub fn next(&mut self, route: &Arc<str>, parts: &[WeightedService]) -> Option<ServiceName> {
        let credits = self.0.entry(Arc::clone(route)).or_default();
        let is_unchanged = credits.len() == parts.len()
            && credits
                .iter()
                .zip(parts)
                .all(|(credit, part)| credit.0 == part.service);
        if !is_unchanged {
            *credits = parts
                .iter()
                .map(|part| (part.service.clone(), 0.0))
                .collect();
        }
        let total: f64 = parts.iter().map(|part| part.weight).sum();
        for (credit, part) in credits.iter_mut().zip(parts) {
            credit.1 += part.weight;
        }
        let eligible = credits
            .iter_mut()
            .zip(parts)
            .filter(|(_, part)| part.weight > 0.0);
        let (chosen, _) = eligible.max_by(|(a, _), (b, _)| a.1.total_cmp(&b.1))?;
        chosen.1 -= total;
        Some(chosen.0.clone())
    }
}
