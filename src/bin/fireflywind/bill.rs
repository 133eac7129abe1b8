//! The verb `bill`.

use fireflywind::kv::KeyValue;
use fireflywind::ledger::{Bill, Product, Total, read_bill};
use serde_json::{Value, json};

use crate::cli::Options;
use crate::exit_codes::ExitCode;
use crate::verbs::{EarlyExit, Io};

/// Reads the ledger and prints the bill.
pub async fn print(
    kv: &dyn KeyValue,
    options: &Options,
    io: &mut Io<'_>,
) -> Result<ExitCode, EarlyExit> {
    let bill = match read_bill(kv).await {
        Ok(bill) => bill,
        Err(error) => return Ok(io.fail(ExitCode::Unavailable, error)?),
    };
    if options.json {
        io.json(&to_json(&bill))?;
        return Ok(ExitCode::Success);
    }
    for row in bill.totals.rows() {
        let Total {
            account,
            product,
            requests,
            amount,
            ..
        } = row;
        writeln!(
            io.out,
            "{account}: {amount} for {requests} x {}",
            name(product)
        )?;
    }
    writeln!(io.out, "{} requests with a known outcome", bill.requests)?;
    for (gateway, unknown) in &bill.unknown {
        for (first, last) in unknown.pairs() {
            writeln!(io.out, "unknown: {gateway}-{first} to {gateway}-{last}")?;
        }
    }
    for record in &bill.unreadable {
        writeln!(io.out, "unreadable: {}: {}", record.key, record.why)?;
    }
    Ok(ExitCode::Success)
}

fn name(product: &Product) -> String {
    match product {
        Product::Version(version) => version.to_string(),
        Product::Call(item) => item.clone(),
    }
}

fn to_json(bill: &Bill) -> Value {
    let unknown: Vec<_> = bill
        .unknown
        .iter()
        .flat_map(|(gateway, ids)| {
            let pairs = ids.pairs().iter();
            pairs.map(
                move |(first, last)| json!({ "gateway": gateway, "first": first, "last": last }),
            )
        })
        .collect();
    let unreadable: Vec<_> = bill
        .unreadable
        .iter()
        .map(|r| json!({ "key": r.key, "why": r.why }))
        .collect();
    json!({
        "totals": bill.totals,
        "requests": bill.requests,
        "unknown": unknown,
        "unreadable": unreadable,
    })
}
