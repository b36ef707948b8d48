//! Rules and decisions of the relay, without a network.

mod answer;
mod audience;
mod catalog;
mod events;
mod pace;
mod pacing;
mod retries;
mod rules;
mod runs;
