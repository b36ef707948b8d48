//! Placeholder.
use super::Budget;
use super::table::Table;
pub async fn measure(_: Budget) -> anyhow::Result<Vec<Table>> {
    Ok(Vec::new())
}
