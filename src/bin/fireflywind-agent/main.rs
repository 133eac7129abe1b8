//! Placeholder of the program until its module lands.

fn main() {}
