//! Customers of a configuration: their keys, priorities and quotas.

use radishpin_protocol::prelude::*;
use sha2::{Digest, Sha256};
use std::{fmt, sync::Arc};
use subtle::ConstantTimeEq;

/// Name of a customer; unique within a configuration.
pub type CustomerId = String;

/// What a quota counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Each request counts as one.
    Requests,
    /// A request counts as its prompt tokens plus its maximum output tokens.
    Tokens {
        /// Cost of a request that does not state its tokens.
        plain_tokens: u64,
    },
}

/// Limit on what a customer may request from all gateways together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// What the other fields count.
    pub unit: QuotaUnit,
    /// Sustained rate; above zero and finite.
    pub rate_per_s: f64,
    /// What may be requested at once on top of the rate; finite.
    pub burst: f64,
}

impl Quota {
    /// Cost of a request in the unit of the quota; `prompt_and_output_tokens` is what the request states,
    /// `None` if it states nothing.
    pub fn cost(&self, prompt_and_output_tokens: Option<u64>) -> u64 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens { plain_tokens } => prompt_and_output_tokens.unwrap_or(plain_tokens),
        }
    }
}

/// A customer on whose behalf requests are served.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Name that endpoints, logs and metrics get.
    pub name: CustomerId,
    /// Priority of its requests, which goes before that of the route; 0 is the most urgent.
    pub priority: u8,
    /// Limit on its requests; `None` if there is none.
    pub quota: Option<Quota>,
}

const DIGEST_BYTES: usize = 32;

/// SHA-256 of a key.
type KeyDigest = [u8; DIGEST_BYTES];

/// The customers of one configuration, found by key or by name. Only hashes of the keys are kept.
#[derive(Clone, Default, PartialEq)]
pub struct Customers {
    /// By the first bytes of the key's digest; the rest is compared in constant time.
    by_key: BTreeMap<u64, Vec<(KeyDigest, Arc<Customer>)>>,
    by_name: BTreeMap<CustomerId, Arc<Customer>>,
    priorities: BTreeSet<u8>,
}

impl Customers {
    /// Adds a customer; if there is one of that name, it stays as it is and gets the keys as well.
    ///
    /// Returns the names of the customers added before that hold one of the keys and keep it, once for
    /// each such key.
    pub fn add<'k>(
        &mut self,
        customer: Customer,
        keys: impl IntoIterator<Item = &'k [u8]>,
    ) -> Vec<CustomerId> {
        let entry = self.by_name.entry(customer.name.clone());
        let customer = Arc::clone(entry.or_insert_with(|| Arc::new(customer)));
        self.priorities.insert(customer.priority);
        let mut held = Vec::new();
        for key in keys {
            let digest = digest(key);
            let entries = self.by_key.entry(digest_prefix(&digest)).or_default();
            match find_digest(entries, &digest) {
                Some(holder) if holder.name != customer.name => held.push(holder.name.clone()),
                Some(_) => {}
                None => entries.push((digest, Arc::clone(&customer))),
            }
        }
        held
    }

    /// Finds the customer that holds a key.
    pub fn find(&self, key: &[u8]) -> Option<&Arc<Customer>> {
        self.find_key(&CustomerKey::new(key))
    }

    /// Finds the customer that holds a key that was hashed before.
    pub fn find_key(&self, key: &CustomerKey) -> Option<&Arc<Customer>> {
        find_digest(self.by_key.get(&digest_prefix(&key.0))?, &key.0)
    }

    /// Finds a customer by its name.
    pub fn by_name(&self, name: &str) -> Option<&Arc<Customer>> {
        self.by_name.get(name)
    }

    /// All customers, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Customer>> {
        self.by_name.values()
    }

    /// The different priorities of all customers.
    pub fn priorities(&self) -> impl Iterator<Item = u8> {
        self.priorities.iter().copied()
    }

    /// Number of customers.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether there are no customers, so that no key is valid.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Number of different keys of all customers.
    pub fn key_count(&self) -> usize {
        self.by_key.values().map(Vec::len).sum()
    }
}

/// Leaves out the hashes of the keys, from which a guessed key could be confirmed.
impl fmt::Debug for Customers {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Customers")
            .field("customers", &self.by_name)
            .field("key_count", &self.key_count())
            .finish()
    }
}

/// A key that a request carries, hashed, so that it can be checked again without being kept.
#[derive(Clone, Copy)]
pub struct CustomerKey(KeyDigest);

impl CustomerKey {
    /// Hashes a key.
    pub fn new(key: &[u8]) -> Self {
        Self(digest(key))
    }
}

impl fmt::Debug for CustomerKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("CustomerKey(..)")
    }
}

fn digest(key: &[u8]) -> KeyDigest {
    Sha256::digest(key).into()
}

fn digest_prefix(digest: &KeyDigest) -> u64 {
    let first = digest.iter().take(size_of::<u64>());
    first.fold(0, |bits, byte| (bits << u8::BITS) | u64::from(*byte))
}

fn find_digest<'a>(
    entries: &'a [(KeyDigest, Arc<Customer>)],
    digest: &KeyDigest,
) -> Option<&'a Arc<Customer>> {
    let same = |(other, _): &&(KeyDigest, Arc<Customer>)| bool::from(other.ct_eq(digest));
    entries.iter().find(same).map(|(_, customer)| customer)
}
