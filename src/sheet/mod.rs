//! The sheet: the single configuration document that operators apply.

pub mod diff;
pub mod digest;
pub mod document;
pub mod finding;
pub mod model;
pub mod parts;
mod rules;
mod schema;
pub mod shape;
#[cfg(test)]
pub(crate) mod tests;

pub use diff::{Difference, diff};
pub use digest::{ApplyId, Digest};
pub use finding::{Finding, Place, Rule};
pub use model::{
    Account, Cascade, Class, Limit, Model, Policy, Price, Priority, Rollout, Service, Sheet,
    Upstream, UpstreamKind, Version, VersionState,
};

/// Parses a sheet and sorts its lists.
///
/// # Errors
/// All findings in the sheet; at least one.
pub fn parse(text: &[u8]) -> Result<Sheet, Vec<Finding>> {
    let node = document::parse(text).map_err(|finding| vec![finding])?;
    let mut findings = Vec::new();
    let value = shape::validate(&node, &schema::SHEET, &mut findings);
    let mut sheet: Sheet = shape::deserialize(value)?;
    let sheet_findings = rules::check(&sheet, &findings);
    findings.extend(sheet_findings);
    if !findings.is_empty() {
        return Err(findings);
    }
    lowercase_key_hashes(&mut sheet);
    sheet.sort();
    Ok(sheet)
}

/// Converts the key hashes to lowercase, since the gateway compares them as text.
fn lowercase_key_hashes(sheet: &mut Sheet) {
    for account in &mut sheet.accounts {
        for hash in &mut account.key_hashes {
            hash.make_ascii_lowercase();
        }
    }
}
