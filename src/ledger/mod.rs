//! Charges, ledger checkpoints and their union into a bill.
