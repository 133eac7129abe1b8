//! Totals of charges by account and product.

use serde::{Deserialize, Serialize};

use super::{Charge, Product};
use crate::ids::AccountId;
use crate::units::{Micros, Tokens};

/// Upper bound of a row's JSON size without its names, in bytes: four numbers of 20 digits and the field names.
const ROW_FIXED_BYTES: usize = 220;

/// The sum of all charges of one account for one product.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Total {
    /// The account that is charged.
    pub account: AccountId,
    /// The charged product.
    pub product: Product,
    /// Number of charged requests.
    pub requests: u64,
    /// Sum of the prompt tokens.
    pub input: Tokens,
    /// Sum of the generated tokens.
    pub output: Tokens,
    /// Sum of the prices.
    pub amount: Micros,
}

/// Totals, sorted by account and product.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<Total>", into = "Vec<Total>")]
pub struct Totals {
    rows: Vec<Total>,
    bytes: usize,
}

impl From<Vec<Total>> for Totals {
    fn from(rows: Vec<Total>) -> Self {
        let mut totals = Self::default();
        for row in rows {
            totals.add_row(row);
        }
        totals
    }
}

impl From<Totals> for Vec<Total> {
    fn from(totals: Totals) -> Self {
        totals.rows
    }
}

impl Totals {
    /// Returns the rows, sorted by account and product.
    #[must_use]
    pub fn rows(&self) -> &[Total] {
        &self.rows
    }

    /// Returns an upper bound of the size of the JSON form, in bytes.
    #[must_use]
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the upper bound of the size of the JSON form with the charge added, in bytes.
    #[must_use]
    pub fn bytes_with(&self, charge: &Charge) -> usize {
        let product = charge.item.product();
        match self.position(&charge.account, &product) {
            Ok(_) => self.bytes,
            Err(_) => self.bytes + row_bytes(&charge.account, &product),
        }
    }

    /// Returns the number of charged requests.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.rows.iter().map(|row| row.requests).sum()
    }

    /// Adds one charge.
    pub fn add(&mut self, charge: &Charge) {
        let (input, output) = charge.item.tokens();
        self.add_row(Total {
            account: charge.account.clone(),
            product: charge.item.product(),
            requests: 1,
            input,
            output,
            amount: charge.amount,
        });
    }

    /// Adds the values of `row` to the row of the same account and product.
    pub fn add_row(&mut self, row: Total) {
        match self.position(&row.account, &row.product) {
            Ok(at) => {
                let sum = &mut self.rows[at];
                sum.requests = sum.requests.saturating_add(row.requests);
                sum.input = sum.input + row.input;
                sum.output = sum.output + row.output;
                sum.amount += row.amount;
            }
            Err(at) => {
                self.bytes += row_bytes(&row.account, &row.product);
                self.rows.insert(at, row);
            }
        }
    }

    fn position(&self, account: &AccountId, product: &Product) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|row| (&row.account, &row.product).cmp(&(account, product)))
    }
}

fn row_bytes(account: &AccountId, product: &Product) -> usize {
    let names = serde_json::to_vec(&(account, product)).map_or(usize::MAX / 2, |json| json.len());
    names + ROW_FIXED_BYTES
}
