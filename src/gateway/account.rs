//! Authentication of callers by API key.

use subtle::ConstantTimeEq;

use crate::http::Incoming;
use crate::refusal::{Code, Refusal};
use crate::sheet::digest::Digest;
use crate::sheet::{Account, Sheet};

/// Maximum length of an API key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Finds the account whose key the request carries as a bearer token.
///
/// Every hash is compared, each in constant time, so that the time reveals nothing about the hashes.
///
/// # Errors
/// A refusal if the key is missing, malformed or unknown.
pub(super) fn authenticate<'a>(
    sheet: &'a Sheet,
    incoming: &Incoming,
) -> Result<&'a Account, Refusal> {
    let refuse = |message| Refusal::not_run(Code::Unauthorized, message);
    let header = incoming.header("authorization");
    let key = header
        .and_then(|value| value.strip_prefix("Bearer "))
        .map(str::trim);
    let key = key.filter(|key| !key.is_empty() && key.len() <= MAX_KEY_BYTES);
    let key = key.ok_or_else(|| refuse("an API key is needed as a bearer token"))?;
    let hash = Digest::of(key.as_bytes()).to_string();
    let mut found = None;
    for account in &sheet.accounts {
        for stored in &account.key_hashes {
            if bool::from(stored.as_bytes().ct_eq(hash.as_bytes())) {
                found = Some(account);
            }
        }
    }
    found.ok_or_else(|| refuse("the API key is not known"))
}
