//! Holders of the parts of all customers' buckets.

use crate::{process::choose_holders, version::CustomerId};
use radishpin_protocol::prelude::*;
use std::net::SocketAddr;

/// Which sidecar holds each part of each customer's bucket. To choose a holder takes a rank of each sidecar, so this
/// is done apart from the credit, for which requests wait.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PartHolders {
    pub(super) sidecars: BTreeSet<SocketAddr>,
    by_customer: BTreeMap<CustomerId, Vec<Option<SocketAddr>>>,
}

impl PartHolders {
    /// Chooses among `sidecars` for customers with their numbers of parts. What `earlier` has chosen among the same
    /// sidecars is kept.
    pub fn choose<'a>(
        earlier: &Self,
        sidecars: BTreeSet<SocketAddr>,
        customers: impl IntoIterator<Item = (&'a str, u8)>,
    ) -> Self {
        let is_same = earlier.sidecars == sidecars;
        let mut by_customer = BTreeMap::new();
        for (customer, parts) in customers {
            let known = earlier.by_customer.get(customer).filter(|_| is_same);
            let holders = match known {
                Some(known) if known.len() == usize::from(parts) => known.clone(),
                Some(_) | None => (0..parts)
                    .map(|part| choose_holder(customer, part, &sidecars))
                    .collect(),
            };
            by_customer.insert(customer.to_owned(), holders);
        }
        Self {
            sidecars,
            by_customer,
        }
    }

    /// The holder of a part, which is chosen now for a customer that was not known.
    pub(super) fn holder(&self, customer: &str, part: u8) -> Option<SocketAddr> {
        let holders = self.by_customer.get(customer);
        match holders.and_then(|holders| holders.get(usize::from(part))) {
            Some(holder) => *holder,
            None => choose_holder(customer, part, &self.sidecars),
        }
    }
}

fn choose_holder(customer: &str, part: u8, sidecars: &BTreeSet<SocketAddr>) -> Option<SocketAddr> {
    let sidecars = sidecars.iter().map(|sidecar| (*sidecar, *sidecar));
    choose_holders(&format!("quota/{part}/{customer}"), sidecars, 1).pop()
}
