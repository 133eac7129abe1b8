//! Fencing of engine orders: the highest number wins, older ones are refused.
