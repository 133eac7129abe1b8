//! Tests of admission; none needs a network.
