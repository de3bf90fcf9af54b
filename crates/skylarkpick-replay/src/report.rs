//! Formats replay reports as text tables and as one HTML file with plots.

mod html;
mod text;

pub use html::html_report;
pub use text::text_table;
