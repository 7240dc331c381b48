//! The choice among the services of a weighted split.

use {
    routing::{ServiceName, Weighted},
    std::{collections::HashMap, sync::Arc},
};

/// Smooth weighted round robin over the split of each route.
///
/// Any run of requests comes close to the weights, closer than chance would,
/// so the shares hold also over the few requests of one host.
#[derive(Debug, Default)]
pub struct Splits(HashMap<Arc<str>, Vec<(ServiceName, f64)>>);

impl Splits {
    /// Returns the service for the next request of `route`.
    pub fn next(&mut self, route: &Arc<str>, parts: &[Weighted]) -> Option<ServiceName> {
        let credits = self.0.entry(Arc::clone(route)).or_default();
        let is_same = credits.len() == parts.len()
            && credits.iter().zip(parts).all(|(c, p)| c.0 == p.service);
        if !is_same {
            *credits = parts.iter().map(|p| (p.service.clone(), 0.0)).collect();
        }
        let total: f64 = parts.iter().map(|part| part.weight).sum();
        for (credit, part) in credits.iter_mut().zip(parts) {
            credit.1 += part.weight;
        }
        let with_weight = credits
            .iter_mut()
            .zip(parts)
            .filter(|(_, p)| p.weight > 0.0);
        let (chosen, _) = with_weight.max_by(|(a, _), (b, _)| a.1.total_cmp(&b.1))?;
        chosen.1 -= total;
        Some(chosen.0.clone())
    }
}
