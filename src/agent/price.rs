//! Pure functions that compute the charges of requests.

use crate::ids::ServiceId;
use crate::ledger::{Charge, Item};
use crate::peer::{RunRequest, Target};
use crate::sheet::Sheet;
use crate::units::{Micros, Tokens};

/// Returns the charge of generated tokens under the sheet that admitted the request.
#[must_use]
pub fn tokens(sheet: &Sheet, req: &RunRequest, input: Tokens, output: Tokens) -> Option<Charge> {
    let Target::Version(version) = &req.target else {
        return None;
    };
    let price = sheet.version(version)?.price_per_1k;
    let item = Item::Tokens {
        version: version.clone(),
        input,
        output,
    };
    Some(charge(req, item, price.for_tokens(input + output)))
}

/// Returns the charge of a call of a plain service; `None` if the call is free.
#[must_use]
pub fn call(sheet: &Sheet, req: &RunRequest, service: &ServiceId) -> Option<Charge> {
    let path = req.path.split('?').next().unwrap_or_default();
    let prices = &sheet.service(service)?.prices;
    let matching = prices
        .iter()
        .filter(|p| p.method == req.method && path_has_prefix(&p.path_prefix, path));
    let price = matching.max_by_key(|p| p.path_prefix.len())?;
    Some(charge(req, Item::Call(price.item.clone()), price.amount))
}

/// Returns whether a path starts with the whole segments of a prefix.
#[must_use]
pub fn path_has_prefix(prefix: &str, path: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn charge(req: &RunRequest, item: Item, amount: Micros) -> Charge {
    Charge {
        request: req.request,
        step: req.step,
        attempt: req.attempt,
        account: req.account.clone(),
        item,
        amount,
    }
}
