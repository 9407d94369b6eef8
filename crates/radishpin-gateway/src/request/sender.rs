//! Who sends a request, as gateways learn it from callers and tell it to endpoints.

use http::{HeaderMap, HeaderValue, header};
use radishpin_adapter::header as wire;
use radishpin_core::version::{Credential, Customer, CustomerKey};
use std::sync::Arc;

/// As whose a request is sent to an endpoint.
#[derive(Clone, Debug)]
pub(crate) enum Sender {
    /// There are no customers: what the caller says of itself is passed on.
    AsReceived,
    /// As this customer's, or as nobody's; endpoints never see the key.
    Customer(Option<Arc<Customer>>),
}

impl Sender {
    /// Writes the sender into the headers of a request.
    pub(crate) fn apply(&self, headers: &mut HeaderMap) {
        let Self::Customer(customer) = self else {
            return;
        };
        headers.remove(header::AUTHORIZATION);
        let is_forged = |name: &&header::HeaderName| wire::names_customer(name.as_str());
        let forged: Vec<_> = headers.keys().filter(is_forged).cloned().collect();
        for name in forged {
            headers.remove(name);
        }
        // Names that do not suit a header are not decoded.
        let name = customer.as_ref().map(|customer| customer.name.as_bytes());
        if let Some(Ok(name)) = name.map(HeaderValue::from_bytes) {
            headers.insert(wire::CUSTOMER, name);
        }
    }
}

/// Reads the key that a request carries.
pub(crate) fn read_credential(headers: &HeaderMap) -> Credential {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    match (values.next(), values.next()) {
        (None, _) => Credential::Missing,
        (Some(value), None) => wire::parse_key(value.as_bytes())
            .map_or(Credential::Malformed, |key| {
                Credential::Key(CustomerKey::new(key))
            }),
        (Some(_), Some(_)) => Credential::Malformed,
    }
}
