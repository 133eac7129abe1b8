//! Tests of explanation records.
