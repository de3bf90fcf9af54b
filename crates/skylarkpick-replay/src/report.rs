//! Prints replays as a table and as one HTML file with plots.

mod html;
mod table;

pub use html::html_report;
pub use table::text_table;
