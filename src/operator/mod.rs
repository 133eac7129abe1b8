//! The operator's verbs: check, apply, show, diff, status, explain, replay and bill.
