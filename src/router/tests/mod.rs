//! Tests of the routing decisions; none needs a network.

mod answer_times;
mod cascade;
mod comparison_fuzz;
mod departures;
mod fleet;
mod fleet_comparison;
mod herd;
mod history;
mod load;
mod named_limits;
mod outcome;
mod pauses;
mod rollout;
mod routing;
mod slow_version;
