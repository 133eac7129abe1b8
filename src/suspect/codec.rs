//! Encoding of crash reports that processes exchange: 64 bytes each.

use super::{CrashId, CrashReport, Fingerprint};
use crate::ids::Incarnation;
use crate::units::Millis;

/// Length of an encoded report, in bytes.
pub const REPORT_BYTES: usize = 64;

/// Age up to which a report is sent again with each status; an older one has reached every linked process.
pub const REPORT_RESEND_PERIOD: Millis = Millis::from_secs(10);

/// Maximum number of reports in a message.
pub const MAX_REPORTS_IN_MESSAGE: usize = 1_024;

/// Encodes reports; those beyond the first [`MAX_REPORTS_IN_MESSAGE`] are omitted.
#[must_use]
pub fn encode(reports: &[CrashReport]) -> Vec<u8> {
    let reports = &reports[..reports.len().min(MAX_REPORTS_IN_MESSAGE)];
    let mut buf = Vec::with_capacity(reports.len() * REPORT_BYTES);
    for report in reports {
        buf.extend_from_slice(&report.fingerprint.0);
        buf.extend_from_slice(&report.crash.agent.0.to_be_bytes());
        buf.extend_from_slice(&report.crash.number.to_be_bytes());
        buf.extend_from_slice(&report.at.0.to_be_bytes());
    }
    buf
}

/// Decodes reports.
///
/// Returns `None` if the length is not a multiple of [`REPORT_BYTES`], or exceeds that of
/// [`MAX_REPORTS_IN_MESSAGE`] reports.
#[must_use]
pub fn decode(buf: &[u8]) -> Option<Vec<CrashReport>> {
    if buf.len() > MAX_REPORTS_IN_MESSAGE * REPORT_BYTES || !buf.len().is_multiple_of(REPORT_BYTES)
    {
        return None;
    }
    buf.chunks_exact(REPORT_BYTES).map(decode_report).collect()
}

fn decode_report(buf: &[u8]) -> Option<CrashReport> {
    let (fingerprint, rest) = buf.split_first_chunk::<32>()?;
    let (agent, rest) = rest.split_first_chunk::<16>()?;
    let (number, at) = rest.split_first_chunk::<8>()?;
    let agent = Incarnation(u128::from_be_bytes(*agent));
    let crash = CrashId {
        agent,
        number: u64::from_be_bytes(*number),
    };
    let at = Millis(u64::from_be_bytes(at.try_into().ok()?));
    Some(CrashReport {
        fingerprint: Fingerprint(*fingerprint),
        crash,
        at,
    })
}
